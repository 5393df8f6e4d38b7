import type { FaultInterval } from "./FaultInterval.js";
import type { PromiseChecker } from "./PromiseChecker.js";
import type { SoakTestBed } from "./SoakTestBed.js";

/** After this time, processes connected to the store send nothing new to a sampler that leaves. */
const drainDeadlineMs = 2_000;
/** Processes are connected again this long after the end of a fault that may hide the change from them. */
const reconnectLimitMs = 3_000;
/** Faults that cut no process off from the store. */
const harmlessKinds = new Set<FaultInterval["kind"]>([
    "samplerLink",
    "replaceSampler",
    "leaveSampler",
    "breakStreams",
    "changeConfiguration",
    "changeSettings",
    "reload",
]);

/** Checks that samplers that left got nothing new while every process was connected to the store. */
export function checkDepartedSamplers(
    bed: Pick<SoakTestBed, "samplers" | "leftAtMs">,
    checker: PromiseChecker,
    faultIntervals: readonly FaultInterval[],
): void {
    const disconnecting = faultIntervals.filter(({ kind }) => !harmlessKinds.has(kind));
    const isUndisturbed = (atMs: number): boolean =>
        disconnecting.every(({ fromMs, untilMs }) => untilMs + reconnectLimitMs < atMs || fromMs > atMs);
    for (const sampler of bed.samplers) {
        const leftAtMs = bed.leftAtMs.get(sampler.id) ?? Infinity;
        const late = sampler.runs().filter(({ atMs }) =>
            atMs > leftAtMs + drainDeadlineMs && isUndisturbed(atMs)
        );
        checker.check(late.length === 0, "a sampler that left gets nothing new", {
            sampler: sampler.id,
            leftAtMs,
            late,
        });
    }
}
