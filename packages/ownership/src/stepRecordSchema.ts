import { z } from "zod";

/** The commit object of a step, written after the `chunks` objects that hold its prompts. */
export const stepRecordSchema = z.object({
    step: z.number().int().nonnegative(),
    digest: z.string(),
    groupSize: z.number().int().positive(),
    needAtMs: z.number(),
    chunks: z.number().int().positive(),
});
