import { z } from "zod";

/** A weight version as a trainer publishes it. */
export const weightsSchema = z.strictObject({
    policy: z.string().min(1),
    version: z.int().nonnegative(),
    location: z.string().min(1),
});
