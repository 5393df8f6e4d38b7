import { z } from "zod";

/** Prompts of a step, one per group. */
export const promptsSchema = z.array(z.object({
    prompt: z.string(),
    maxTokens: z.number().int().positive(),
}));
