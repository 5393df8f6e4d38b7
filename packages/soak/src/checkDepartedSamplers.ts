import type { FaultInterval } from "./FaultInterval.js";
import type { PromiseChecker } from "./PromiseChecker.js";
import type { SoakTestBed } from "./SoakTestBed.js";

/** A sampler that is said to leave gets nothing new after this time from processes that are in touch. */
const drainDeadlineMs = 2_000;
/** Processes are in touch this long after the end of any trouble that may hide the change from them. */
const reconnectLimitMs = 3_000;
/** These keep no process from the store. */
const harmlessKinds = new Set<FaultInterval["kind"]>([
    "samplerLink",
    "replaceSampler",
    "leaveSampler",
    "breakStreams",
    "changeConfiguration",
    "reload",
]);

/** Checks that samplers that left got nothing new while every process was in touch. */
export function checkDepartedSamplers(
    bed: Pick<SoakTestBed, "samplers" | "leftAtMs">,
    checker: PromiseChecker,
    faultIntervals: FaultInterval[],
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
