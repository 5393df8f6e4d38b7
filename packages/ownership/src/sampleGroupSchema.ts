import { z } from "zod";

/** A group as stored outside the owner's process. */
export const sampleGroupSchema = z.object({
    group: z.number().int().nonnegative(),
    samples: z.array(z.object({
        sample: z.string(),
        group: z.number().int().nonnegative(),
        index: z.number().int().nonnegative(),
        spans: z.array(z.object({
            version: z.number(),
            tokens: z.number(),
            text: z.string(),
        })),
        tokens: z.number(),
        score: z.number(),
        sampler: z.string(),
        engineMs: z.number(),
    })),
});
