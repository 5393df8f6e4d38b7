import type { SamplerId } from "@auburnarch/types/SamplerId";

/** Estimates which prompts are in which sampler's prefix cache. */
interface PrefixHints {
    /** Records that a prompt was sent to a sampler, whose cache then contains it for some time. */
    recordSent(prompt: string, sampler: SamplerId, nowMs: number): void;
    /** Records what the engine reported as cached; this corrects a wrong hint. */
    recordCacheResult(prompt: string, sampler: SamplerId, cachedTokens: number): void;
    expectCachedTokens(prompt: string, sampler: SamplerId, promptTokens: number, nowMs: number): number;
}

const halfLifeMs = 30_000;
const maxPrompts = 4_096;

/**
 * Creates hints from the samplers that prompts were sent to. Caches are limited and their events are late and may be
 * lost, so the expected number of cached tokens halves every 30 s, and a hint is removed when an engine reports no
 * cached token of the prompt.
 */
export function createPrefixHints(): PrefixHints {
    const prompts = new Map<string, Map<SamplerId, number>>();
    return {
        recordSent: (prompt, sampler, nowMs) => {
            const sent = prompts.get(prompt) ?? new Map<SamplerId, number>();
            prompts.delete(prompt);
            prompts.set(prompt, sent.set(sampler, nowMs));
            if (prompts.size > maxPrompts) {
                prompts.delete(prompts.keys().next().value!);
            }
        },
        recordCacheResult: (prompt, sampler, cachedTokens) => {
            if (cachedTokens === 0) {
                prompts.get(prompt)?.delete(sampler);
            }
        },
        expectCachedTokens: (prompt, sampler, promptTokens, nowMs) => {
            const sentAtMs = prompts.get(prompt)?.get(sampler);
            return sentAtMs === undefined ? 0 : promptTokens * 0.5 ** ((nowMs - sentAtMs) / halfLifeMs);
        },
    };
}
