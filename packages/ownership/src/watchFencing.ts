import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";

interface FencingWatcher {
    /** Called when a sidecar refuses this owner's fencing number. */
    onFenced: () => void;
    onRunning: (sample: SampleId, change: 1 | -1) => void;
}

const isFenced = (code: ResultCode): boolean => code.number === resultCodes.fenced.number;

/**
 * Wraps a sidecar port; reports to `watcher` refusals of an outdated fencing number, and starts and ends of
 * samples.
 */
export function watchFencing(port: SidecarPort, watcher: FencingWatcher): SidecarPort {
    return {
        ...port,
        runSample: async (attempt, onSpan, signal) => {
            watcher.onRunning(attempt.sample, 1);
            const outcome = await port.runSample(attempt, onSpan, signal);
            watcher.onRunning(attempt.sample, -1);
            if (outcome.kind === "notRun" && isFenced(outcome.code)) {
                watcher.onFenced();
            }
            return outcome;
        },
        order: async order => {
            const result = await port.order(order);
            if (result.kind === "refused" && isFenced(result.code)) {
                watcher.onFenced();
            }
            return result;
        },
    };
}
