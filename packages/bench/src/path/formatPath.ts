import { addFailures } from "./addFailures.js";
import type { Failures } from "./Failures.js";
import type { PathReport } from "./PathReport.js";

const digits = 3;
const round = (value: number): string => value.toFixed(digits);

const failed = (failures: Failures): string => {
    const count = Object.values(failures).reduce((sum, each) => sum + each, 0);
    return count === 0 ? "failed 0" : `failed ${count}: ${JSON.stringify(failures)}`;
};

/** Formats the report as lines for a terminal. */
export function formatPath(report: PathReport): string[] {
    const { plainAtRate: rate, plainFlatOut: flat, streamed } = report;
    const lines = [
        `at ${rate.requestsPerSecond} requests/s: direct p50 ${round(rate.direct.p50Ms)} ms p99 ${
            round(rate.direct.p99Ms)
        } ms; through p50 ${round(rate.through.p50Ms)} ms p99 ${round(rate.through.p99Ms)} ms; added p50 ${
            round(rate.addedP50Ms)
        } ms p99 ${round(rate.addedP99Ms)} ms; ${
            failed(addFailures(rate.direct.failures, rate.through.failures))
        }`,
        `flat out: direct ${round(flat.directPerSecond)} /s, through ${
            round(flat.throughPerSecond)
        } /s, ratio ${round(flat.throughputRatio)}; ${failed(flat.failures)}`,
        `streamed tokens/s over ${streamed.streams} streams: direct ${
            round(streamed.directTokensPerSecond)
        }, through ${round(streamed.throughTokensPerSecond)}, ratio ${round(streamed.tokenRatio)}; ${
            failed(streamed.failures)
        }`,
    ];
    for (const [name, phases] of Object.entries(report.processes)) {
        const uses = Object.entries(phases).map(([phase, use]) =>
            `${phase} ${round(use.coreShare)} core ${Math.round(use.residentMegabytes)} MB`
        );
        lines.push(`${name}: ${uses.join(", ")}`);
    }
    return lines;
}
