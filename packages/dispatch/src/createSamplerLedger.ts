import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { RunningAttempt } from "./RunningAttempt.js";

interface SamplerRecord {
    running: Set<RunningAttempt>;
    /** Monotonic times of ends of attempts, with their start, newest last. */
    ended: { sentAtMs: number; endedAtMs: number; }[];
    tokensPerSecond: number | undefined;
    lastSentOrder: number;
    coolUntilMs: number;
    refusals: number;
}

/** What one dispatcher knows of samplers by its own traffic. */
interface SamplerLedger {
    record(sampler: SamplerId): Readonly<SamplerRecord>;
    noteSent(attempt: RunningAttempt): void;
    noteEnded(attempt: RunningAttempt, nowMs: number): void;
    /** The sampler refused: no more is sent there until `retryAfterMs`, or a doubling backoff, has passed. */
    noteRefused(sampler: SamplerId, retryAfterMs: number | undefined, nowMs: number): void;
    /** Attempts sent after the report was made less those of its time that have ended since. */
    sentSinceReport(view: SamplerView, nowMs: number): number;
    /** Tokens a second of single generations over all samplers lately. */
    meanTokensPerSecond(): number;
}

const endsKept = 256;
const speedSmoothing = 0.2;
const meanSpeedSmoothing = 0.05;
/** Speed assumed until the first one is measured. */
const assumedTokensPerSecond = 50;
const firstCoolMs = 50;
const maxCoolMs = 2_000;

/** Tokens a second between the first and the last span; undefined where too little was streamed to tell. */
const measuredSpeed = (attempt: RunningAttempt): number | undefined => {
    const { firstSpanAtMs, lastSpanAtMs, firstSpanTokens, tokens } = attempt;
    if (firstSpanAtMs === undefined || lastSpanAtMs === undefined || lastSpanAtMs <= firstSpanAtMs) {
        return undefined;
    }
    return (tokens - firstSpanTokens) / (lastSpanAtMs - firstSpanAtMs) * 1000;
};

/** Makes an empty ledger. */
export function createSamplerLedger(): SamplerLedger {
    const records = new Map<SamplerId, SamplerRecord>();
    let sentOrder = 0;
    let meanSpeed = assumedTokensPerSecond;

    function record(sampler: SamplerId): SamplerRecord {
        let known = records.get(sampler);
        if (known === undefined) {
            known = {
                running: new Set(),
                ended: [],
                tokensPerSecond: undefined,
                lastSentOrder: 0,
                coolUntilMs: 0,
                refusals: 0,
            };
            records.set(sampler, known);
        }
        return known;
    }

    function noteEnded(attempt: RunningAttempt, nowMs: number): void {
        const known = record(attempt.sampler);
        known.running.delete(attempt);
        known.ended.push({ sentAtMs: attempt.sentAtMs, endedAtMs: nowMs });
        if (known.ended.length > 2 * endsKept) {
            known.ended.splice(0, endsKept);
        }
        const speed = measuredSpeed(attempt);
        if (speed !== undefined) {
            known.refusals = 0;
            meanSpeed += meanSpeedSmoothing * (speed - meanSpeed);
            const before = known.tokensPerSecond ?? speed;
            known.tokensPerSecond = before + speedSmoothing * (speed - before);
        }
    }

    function noteRefused(sampler: SamplerId, retryAfterMs: number | undefined, nowMs: number): void {
        const known = record(sampler);
        const backoffMs = Math.min(maxCoolMs, firstCoolMs * 2 ** known.refusals);
        known.refusals = Math.min(known.refusals + 1, 10);
        known.coolUntilMs = nowMs + (retryAfterMs ?? backoffMs);
    }

    function sentSinceReport(view: SamplerView, nowMs: number): number {
        const known = record(view.report.sampler);
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
        record,
        noteSent: attempt => {
            const known = record(attempt.sampler);
            known.running.add(attempt);
            known.lastSentOrder = ++sentOrder;
        },
        noteEnded,
        noteRefused,
        sentSinceReport,
        meanTokensPerSecond: () => meanSpeed,
    };
}
