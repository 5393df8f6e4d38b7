import type { ContentTrials } from "@auburnarch/forwarding/ContentTrials";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";

const retryDelayMs = 500;
/** Old records are removed about as often. */
const repeatIntervalMs = 3_600_000;

/**
 * Reads from the store what earlier processes knew of contents that crash samplers, until that succeeds, and then once
 * an hour. Returns whether it has succeeded.
 */
export function restoreTrials(
    { trials, clock, logger }: { trials: Pick<ContentTrials, "restore">; clock: Clock; logger: Logger; },
): () => boolean {
    let isRestored = false;

    async function restore(): Promise<void> {
        try {
            const contents = await trials.restore();
            if (contents > 0) {
                logger.info("trialsRestored", { contents });
            }
            isRestored = true;
            clock.startTimer(repeatIntervalMs, () => void restore());
        }
        catch {
            clock.startTimer(retryDelayMs, () => void restore());
        }
    }

    void restore();
    return () => isRestored;
}
