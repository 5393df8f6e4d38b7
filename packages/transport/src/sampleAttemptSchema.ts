import type { SampleAttempt } from "@auburnarch/types/SampleAttempt";
import { z } from "zod";
import { tokenSpanSchema } from "./tokenSpanSchema.js";

const name = z.string().min(1).max(512);
const nonNegativeInteger = z.number().int().nonnegative();

/** Sample attempt as received from another process; unknown keys are rejected. */
export const sampleAttemptSchema = z.strictObject({
    attempt: name,
    sample: name,
    job: name,
    team: name,
    policy: name,
    fencing: nonNegativeInteger,
    minVersion: nonNegativeInteger,
    prompt: z.string(),
    maxTokens: z.number().int().positive(),
    priority: z.number().min(0).max(100),
    seed: z.number().int(),
    digest: name,
    isTrial: z.boolean().optional(),
    budgetMs: z.number(),
    resume: z.array(tokenSpanSchema),
}) as unknown as z.ZodType<SampleAttempt>;
