import { z } from "zod";

/** Body of a trainer's request to publish a weight version. */
export const weightsSchema = z.strictObject({
    policy: z.string().min(1),
    version: z.int().nonnegative(),
    location: z.string().min(1),
});
