import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { StoredTrial } from "./StoredTrial.js";

interface KeptTrials {
    keep(content: ContentDigest, trial: StoredTrial): void;
    /** Takes the trial of a content; undefined if none is kept. */
    take(content: ContentDigest): StoredTrial | undefined;
}

/**
 * Creates the trials of one process that were not run. Each remains with it until its time is over, since samplers may
 * be back soon, and is then released for other processes.
 */
export function createKeptTrials(
    clock: Clock,
    release: (content: ContentDigest, trial: StoredTrial) => void,
): KeptTrials {
    const kept = new Map<ContentDigest, StoredTrial>();
    return {
        keep: (content, trial) => {
            kept.set(content, trial);
            clock.startTimer(trial.keptUntilMs - clock.monotonicMs(), () => {
                if (kept.get(content) === trial) {
                    kept.delete(content);
                    release(content, trial);
                }
            });
        },
        take: content => {
            const trial = kept.get(content);
            kept.delete(content);
            return trial;
        },
    };
}
