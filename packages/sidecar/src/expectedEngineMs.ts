import { countTokens } from "@auburnarch/streams/countTokens";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { SidecarContext } from "./SidecarContext.js";

/** Most requests end long before their token limit; the actual cost replaces this estimate afterwards. */
const maxExpectedTokens = 512;

/**
 * Estimates the engine time that a generation is charged in advance: its tokens at the engine's speed, shared by the
 * batch.
 */
export function expectedEngineMs(
    context: SidecarContext,
    work: { maxTokens: number; resume: TokenSpan[]; },
): number {
    const tokensLeft = Math.max(1, work.maxTokens - countTokens(work.resume));
    const tokensPerSecond = Math.max(1, context.weights?.description()?.tokensPerSecond ?? 1);
    const batchSize = Math.max(1, context.slots.running());
    return Math.min(tokensLeft, maxExpectedTokens) * 1_000 / tokensPerSecond / batchSize;
}
