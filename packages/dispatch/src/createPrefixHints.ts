import type { SamplerId } from "@auburnarch/types/SamplerId";

/** Guesses of which prompts are in which sampler's prefix cache. */
interface PrefixHints {
    /** A prompt was sent to a sampler, so that its cache holds it for some time. */
    recordSent(prompt: string, sampler: SamplerId, nowMs: number): void;
    /** What the engine said it found: corrects a hint that was wrong. */
    recordCacheResult(prompt: string, sampler: SamplerId, cachedTokens: number): void;
    expectCachedTokens(prompt: string, sampler: SamplerId, promptTokens: number, nowMs: number): number;
}

const halfLifeMs = 30_000;
const maxPrompts = 4_096;

/**
 * Remembers where prompts went. Caches are limited and their events late and lossy, so a hint loses half its
 * worth every 30 s, and is forgotten when an engine finds nothing of the prompt.
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
