import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { Clock } from "@auburnarch/types/Clock";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { UnansweredAttempts } from "./UnansweredAttempts.js";

interface UnansweredAttempt {
    sampler: IncarnationId;
    sentAtMs: number;
    onCrash: (ageMs: number) => void;
}

const checkIntervalMs = 500;
/** Longer than the entry of a silent sampler remains in the store. */
const retentionMs = 15_000;
const maxAttempts = 256;
const maxSamplers = 4_096;

/**
 * Creates the unanswered attempts of one process. A sampler that crashes may fall silent instead of resetting its
 * connections; its attempts then end like those at a slow one. What tells them apart is what the sampler does next: it
 * answers, or accepts no connection, or its entry disappears.
 */
export function createUnansweredAttempts(
    { directory, clock }: { directory: SamplerDirectory; clock: Clock; },
): UnansweredAttempts {
    let attempts: UnansweredAttempt[] = [];
    /** Times of the latest answers, in ascending order. */
    const answersAtMs = new Map<IncarnationId, number>();
    let isChecking = false;

    function take(isTaken: (attempt: UnansweredAttempt) => boolean): UnansweredAttempt[] {
        const taken = attempts.filter(isTaken);
        attempts = attempts.filter(attempt => !taken.includes(attempt));
        return taken;
    }

    function reportCrash({ sentAtMs, onCrash }: UnansweredAttempt): void {
        onCrash(clock.monotonicMs() - sentAtMs);
    }

    function check(): void {
        const nowMs = clock.monotonicMs();
        take(({ sentAtMs }) => nowMs - sentAtMs > retentionMs);
        take(({ sampler }) => directory.find(sampler)?.isDraining === true);
        take(({ sampler }) => directory.find(sampler) === undefined).forEach(reportCrash);
        isChecking = attempts.length > 0;
        if (isChecking) {
            clock.startTimer(checkIntervalMs, check);
        }
    }

    return {
        record: (sampler, sentAtMs, onCrash) => {
            attempts = [...attempts, { sampler, sentAtMs, onCrash }].slice(-maxAttempts);
            if (!isChecking) {
                isChecking = true;
                clock.startTimer(checkIntervalMs, check);
            }
        },
        recordAnswer: answered => {
            take(({ sampler }) => sampler === answered);
            answersAtMs.delete(answered);
            answersAtMs.set(answered, clock.monotonicMs());
            if (answersAtMs.size > maxSamplers) {
                answersAtMs.delete(answersAtMs.keys().next().value!);
            }
        },
        answeredAtMs: sampler => answersAtMs.get(sampler) ?? -Infinity,
        recordFailure: failed => take(({ sampler }) => sampler === failed).forEach(reportCrash),
    };
}
