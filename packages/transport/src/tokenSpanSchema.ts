import { z } from "zod";

/** Consecutive tokens of one weight version, as received from another process. */
export const tokenSpanSchema = z.strictObject({
    version: z.number().int().nonnegative(),
    tokens: z.number().int().nonnegative(),
    text: z.string(),
});
