import type { TrueTimeEstimate } from "@auburnarch/clock/TrueTimeEstimate";
import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { Clock } from "@auburnarch/types/Clock";
import type { StartCountRegistry } from "@auburnarch/usage/StartCountRegistry";
import type { RunnerStatus } from "./RunnerStatus.js";
import type { StatusQuery } from "./StatusQuery.js";

interface TimedProbeDeps {
    probe: (address: RunnerAddress, timeoutMs: number, query: StatusQuery) => Promise<RunnerStatus>;
    /** Evaluated at each probe: only the holder of the duties needs the counts. */
    wantsStarts: () => boolean;
    starts: Pick<StartCountRegistry, "merge"> | undefined;
    trueTime: Pick<TrueTimeEstimate, "recordReading">;
    clock: Clock;
}

/** Creates a probe that also learns the peer's clock and its counts of started requests from each answer. */
export function createTimedProbe(deps: TimedProbeDeps) {
    const { clock, trueTime, starts } = deps;
    return async (address: RunnerAddress, timeoutMs: number): Promise<RunnerStatus> => {
        const sentAtMs = clock.monotonicMs();
        const status = await deps.probe(address, timeoutMs, { wantsStarts: deps.wantsStarts() });
        if (status.wallMs !== undefined) {
            trueTime.recordReading(status.incarnation, status.wallMs, (sentAtMs + clock.monotonicMs()) / 2);
        }
        status.starts?.forEach(report => starts?.merge(report));
        return status;
    };
}
