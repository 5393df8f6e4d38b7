import { z } from "zod";

const maxPrompts = 65_536;
const maxTokens = 1_000_000;
const wholeNumber = z.int().nonnegative();

/** Body of a trainer's request to open a step. */
export const stepSchema = z.strictObject({
    step: wholeNumber,
    prompts: z.array(z.strictObject({
        prompt: z.string().min(1),
        maxTokens: wholeNumber.min(1).max(maxTokens),
    })).min(1).max(maxPrompts),
    needAtMs: wholeNumber.optional(),
});
