import type { Clock } from "@auburnarch/types/Clock";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { RunMeter } from "./RunMeter.js";
import type { SamplerAttemptOutcome } from "./SamplerAttemptOutcome.js";

/** Determines when a request started to run, from the attempts that ran or may have run. */
interface RunStartTracker {
    recordSent(sampler: IncarnationId): void;
    recordEnd(sampler: IncarnationId, outcome: SamplerAttemptOutcome): void;
    /** Reports to the meter; attempts still in flight count as running. */
    close(): void;
}

/** Creates the tracker of one request. A request that ran on two samplers counts once, from the earlier start. */
export function createRunStartTracker(
    clock: Clock,
    meter: RunMeter | undefined,
    team: TeamId | undefined,
): RunStartTracker {
    const closeMeter = team === undefined ? undefined : meter?.open(team);
    const sentAtMs = new Map<IncarnationId, number>();
    const ranFromMs: number[] = [];
    return {
        recordSent: sampler => void sentAtMs.set(sampler, clock.monotonicMs()),
        recordEnd: (sampler, outcome) => {
            const sentMs = sentAtMs.get(sampler);
            sentAtMs.delete(sampler);
            if (sentMs !== undefined && outcome.kind !== "notRun") {
                ranFromMs.push(sentMs);
            }
        },
        close: () => {
            const startsMs = [...ranFromMs, ...sentAtMs.values()];
            closeMeter?.(startsMs.length === 0 ? undefined : Math.min(...startsMs));
        },
    };
}
