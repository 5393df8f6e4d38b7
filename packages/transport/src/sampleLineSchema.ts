import { z } from "zod";

const tokens = z.number().int().nonnegative();

/** One line of a sample's response: spans, then exactly one outcome. Without an outcome the stream is truncated. */
export const sampleLineSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("span"), version: tokens, tokens, text: z.string() }),
    z.object({
        kind: z.literal("ran"),
        sampler: z.string(),
        complete: z.boolean(),
        engineMs: z.number(),
        cachedPromptTokens: z.number(),
        /** Number of spans and tokens streamed before this line, with which the receiver detects missing ones. */
        streamedSpans: tokens,
        streamedTokens: tokens,
    }),
    z.object({ kind: z.literal("notRun"), code: z.number(), retryAfterMs: z.number().optional() }),
    z.object({ kind: z.literal("unknown"), code: z.number() }),
]);
