import { faultKinds } from "./faultKinds.js";
import type { FaultRun } from "./FaultRun.js";
import type { FaultSummary } from "./FaultSummary.js";
import { focusKinds } from "./focusKinds.js";
import { runWithFaults } from "./runWithFaults.js";
import { runScripts } from "./scripts/runScripts.js";
import type { SeriesOptions } from "./SeriesOptions.js";

const maxDetailedViolations = 100;
/** Keeps the run seeds of one series apart from those of a series with the next seed. */
const seedStride = 1_000_003;

function addRun(summary: FaultSummary, run: FaultRun): void {
    for (const kind of faultKinds) {
        summary.strikes[kind] += run.strikes[kind];
    }
    const left = maxDetailedViolations - summary.violations.length;
    summary.violations.push(...run.violations.slice(0, left).map(each => ({ seed: run.seed, ...each })));
    summary.violationCount += run.violations.length;
    summary.simulatedMs += Math.round(run.simulatedMs);
    summary.stepsDone += run.stepsDone;
    summary.groupsTaken += run.groupsTaken;
    summary.requests += run.requests;
    summary.owners += run.owners;
}

/** Runs a series. The same options give the same summary. */
export async function runFaultSeries(options: SeriesOptions): Promise<FaultSummary> {
    const summary: FaultSummary = {
        seed: options.seed,
        runs: 0,
        without: options.without,
        strikes: Object.fromEntries(faultKinds.map(kind => [kind, 0])) as FaultSummary["strikes"],
        violations: [],
        violationCount: 0,
        simulatedMs: 0,
        stepsDone: 0,
        groupsTaken: 0,
        requests: 0,
        owners: 0,
    };
    // Refusals raise thousands of errors whose stack traces are not used.
    Error.stackTraceLimit = 0;
    const { onlyRun } = options;
    const scripted = onlyRun === undefined ? await runScripts(options.guards) : [];
    summary.violations.push(...scripted.map(each => ({ seed: options.seed, ...each })));
    summary.violationCount += scripted.length;
    const isFocused = options.without !== undefined && onlyRun === undefined && options.kinds === undefined;
    const focus = isFocused ? focusKinds[options.without!] : undefined;
    const runs = scripted.length > 0 && options.stopAtFirst ? 0 : options.runs;
    for (let index = 0; index < runs; index++) {
        const seed = onlyRun ?? options.seed * seedStride + index;
        const { stopAtFirst, killers } = options;
        const only = index % 2 === 0 ? focus ?? options.kinds : options.kinds;
        const run = await runWithFaults(seed, options.guards, { stopAtFirst, killers, only });
        summary.runs++;
        addRun(summary, run);
        options.onRun?.(run, index);
        if (options.stopAtFirst && summary.violationCount > 0) {
            break;
        }
    }
    return summary;
}
