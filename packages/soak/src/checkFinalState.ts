import type { PlainCall } from "./PlainCall.js";
import type { PromiseChecker } from "./PromiseChecker.js";
import type { SoakTestBed } from "./SoakTestBed.js";
import type { StepRecord } from "./StepRecord.js";

/** Statuses that guarantee that a request has not run and never will. */
const notRunStatuses = new Set([429, 503, 408, 421]);
/** Three seconds for an end to become known everywhere, plus the longest fault that may hide it from a runner. */
const cancelLimitMs = 8_000;
/** Minimum time between the orders of two different holders to the same sampler. */
const orderHandOverMs = 3_000;

/** Checks, by the samplers' records and the processes' logs, the promises that can only be checked after the run. */
export function checkFinalState(
    bed: SoakTestBed,
    checker: PromiseChecker,
    steps: StepRecord[],
    calls: PlainCall[],
): void {
    const runsById = new Map<string, { sampler: string; atMs: number; }[]>();
    for (const sampler of bed.samplers) {
        for (const { id, atMs } of sampler.runs()) {
            runsById.set(id, [...runsById.get(id) ?? [], { sampler: sampler.id, atMs }]);
        }
    }

    for (const { requestId, isRepeatable, status } of calls) {
        const runs = runsById.get(requestId) ?? [];
        checker.check(isRepeatable || runs.length <= 1, "it runs once at most", { requestId, runs });
        const isKept = isRepeatable || !notRunStatuses.has(status) || runs.length === 0;
        checker.check(isKept, "what was refused did not run", { requestId, status, runs });
    }

    for (const step of steps) {
        const isRefused = !step.isAccepted && step.submissions.every(status => notRunStatuses.has(status));
        for (const item of step.items) {
            const runs = runsById.get(item) ?? [];
            checker.check(!isRefused || runs.length === 0, "a refused job does not run", { item, runs });
            const endMs = step.endedAtMs ?? Infinity;
            const late = runs.filter(run => run.atMs > endMs + cancelLimitMs);
            checker.check(late.length === 0, "an ended job does not run", { item, endMs, late });
        }
    }

    for (const sampler of bed.samplers) {
        sampler.orders().forEach((order, index, all) => {
            const before = all[index - 1];
            const isOtherHolder = before !== undefined && before.holder !== order.holder;
            const isFarEnoughApart = !isOtherHolder || order.atMs - before.atMs >= orderHandOverMs;
            checker.check(isFarEnoughApart, "orders come from one holder", {
                sampler: sampler.id,
                before,
                order,
            });
        });
    }

    for (const program of bed.programs) {
        const broken = program.lines().filter(line => line.includes("event=promiseBroken"));
        checker.check(broken.length === 0, "no assertion of the program failed", broken);
        const exits = program.unexpectedExits();
        checker.check(exits.length === 0, "no process ends by itself", exits);
    }
}
