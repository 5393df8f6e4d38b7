import { z } from "zod";

const tokens = z.number().int().nonnegative();

/** One line of a sample's answer: spans, then exactly one outcome. Without the outcome the stream was cut short. */
export const sampleLineSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("span"), version: tokens, tokens, text: z.string() }),
    z.object({
        kind: z.literal("ran"),
        sampler: z.string(),
        complete: z.boolean(),
        engineMs: z.number(),
        cachedPromptTokens: z.number(),
        /** Spans and tokens streamed before, for the receiver to compare. */
        streamedSpans: tokens,
        streamedTokens: tokens,
    }),
    z.object({ kind: z.literal("notRun"), code: z.number(), retryAfterMs: z.number().optional() }),
    z.object({ kind: z.literal("unknown"), code: z.number() }),
]);
