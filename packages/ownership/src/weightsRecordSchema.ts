import { z } from "zod";

/** `jobs/<job>/weights`: the published version and the fencing number of the owner that last claimed or wrote it. */
export const weightsRecordSchema = z.object({
    fencing: z.number(),
    published: z.object({
        policy: z.string(),
        version: z.number().int().nonnegative(),
        location: z.string(),
    }).optional(),
});
