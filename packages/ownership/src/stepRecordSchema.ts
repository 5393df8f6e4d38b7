import { z } from "zod";

/** The commit object of a step: `chunks` objects beside it hold the prompts, all written before it. */
export const stepRecordSchema = z.object({
    step: z.number().int().nonnegative(),
    digest: z.string(),
    groupSize: z.number().int().positive(),
    needAtMs: z.number(),
    chunks: z.number().int().positive(),
});
