import { z } from "zod";

/** Consecutive tokens of one weight version, as another process sends them. */
export const tokenSpanSchema = z.strictObject({
    version: z.number().int().nonnegative(),
    tokens: z.number().int().nonnegative(),
    text: z.string(),
});
