import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { RunningAttempt } from "./RunningAttempt.js";

interface SamplerRecord {
    running: Set<RunningAttempt>;
    /** Monotonic start and end times of ended attempts, newest last. */
    ended: { sentAtMs: number; endedAtMs: number; }[];
    tokensPerSecond: number | undefined;
    lastSentOrder: number;
    pausedUntilMs: number;
    refusals: number;
}

/** Statistics of samplers from one dispatcher's own attempts. */
interface SamplerStats {
    recordOf(sampler: SamplerId): Readonly<SamplerRecord>;
    recordSent(attempt: RunningAttempt): void;
    recordEnded(attempt: RunningAttempt, nowMs: number): void;
    /** Records a refusal: nothing is sent to the sampler until `retryAfterMs` or a doubling backoff has passed. */
    recordRefused(sampler: SamplerId, retryAfterMs: number | undefined, nowMs: number): void;
    /** Attempts sent after the view's report was made, minus the earlier ones that have ended since. */
    sentSinceReport(view: SamplerView, nowMs: number): number;
    /** Recent tokens per second of a single generation, averaged over all samplers. */
    meanTokensPerSecond(): number;
}

const maxEndedAttempts = 256;
const speedSmoothing = 0.2;
const meanSpeedSmoothing = 0.05;
/** Assumed until the first measurement. */
const assumedTokensPerSecond = 50;
const firstPauseMs = 50;
const maxPauseMs = 2_000;

/** Tokens per second between the first and the last span; undefined if there are fewer than two spans in time. */
const measuredSpeed = (attempt: RunningAttempt): number | undefined => {
    const { firstSpanAtMs, lastSpanAtMs, firstSpanTokens, tokens } = attempt;
    if (firstSpanAtMs === undefined || lastSpanAtMs === undefined || lastSpanAtMs <= firstSpanAtMs) {
        return undefined;
    }
    return (tokens - firstSpanTokens) / (lastSpanAtMs - firstSpanAtMs) * 1000;
};

/** Creates statistics without any samplers. */
export function createSamplerStats(): SamplerStats {
    const records = new Map<SamplerId, SamplerRecord>();
    let sentOrder = 0;
    let meanSpeed = assumedTokensPerSecond;

    function recordOf(sampler: SamplerId): SamplerRecord {
        let known = records.get(sampler);
        if (known === undefined) {
            known = {
                running: new Set(),
                ended: [],
                tokensPerSecond: undefined,
                lastSentOrder: 0,
                pausedUntilMs: 0,
                refusals: 0,
            };
            records.set(sampler, known);
        }
        return known;
    }

    function recordEnded(attempt: RunningAttempt, nowMs: number): void {
        const known = recordOf(attempt.sampler);
        known.running.delete(attempt);
        known.ended.push({ sentAtMs: attempt.sentAtMs, endedAtMs: nowMs });
        if (known.ended.length > 2 * maxEndedAttempts) {
            known.ended.splice(0, maxEndedAttempts);
        }
        const speed = measuredSpeed(attempt);
        if (speed !== undefined) {
            known.refusals = 0;
            meanSpeed += meanSpeedSmoothing * (speed - meanSpeed);
            const before = known.tokensPerSecond ?? speed;
            known.tokensPerSecond = before + speedSmoothing * (speed - before);
        }
    }

    function recordRefused(sampler: SamplerId, retryAfterMs: number | undefined, nowMs: number): void {
        const known = recordOf(sampler);
        const backoffMs = Math.min(maxPauseMs, firstPauseMs * 2 ** known.refusals);
        known.refusals = Math.min(known.refusals + 1, 10);
        known.pausedUntilMs = nowMs + (retryAfterMs ?? backoffMs);
    }

    function sentSinceReport(view: SamplerView, nowMs: number): number {
        const known = recordOf(view.report.sampler);
        const reportedAtMs = nowMs - view.reportAgeMs;
        let sent = 0;
        for (const attempt of known.running) {
            sent += attempt.sentAtMs >= reportedAtMs ? 1 : 0;
        }
        let ended = 0;
        for (let at = known.ended.length - 1; at >= 0 && known.ended[at]!.endedAtMs >= reportedAtMs; at--) {
            ended += known.ended[at]!.sentAtMs < reportedAtMs ? 1 : 0;
        }
        return Math.max(view.sentSinceReport, sent) - ended;
    }

    return {
        recordOf,
        recordSent: attempt => {
            const known = recordOf(attempt.sampler);
            known.running.add(attempt);
            known.lastSentOrder = ++sentOrder;
        },
        recordEnded,
        recordRefused,
        sentSinceReport,
        meanTokensPerSecond: () => meanSpeed,
    };
}
