import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";

interface FencingWatcher {
    /** A sidecar knows of a newer owner. */
    onFenced: () => void;
    onRunning: (sample: SampleId, change: 1 | -1) => void;
}

const isFenced = (code: ResultCode): boolean => code.number === resultCodes.fenced.number;

/** A sidecar port that tells `watcher` of refusals for an old fencing number and of samples that run. */
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
