import { faultKinds } from "./faultKinds.js";
import type { FaultSummary } from "./FaultSummary.js";

const shownViolations = 20;

/**
 * Renders the summary as lines of key=value pairs: one per kind of fault, one per listed violation, one for the totals.
 */
export function renderFaultSummary(summary: FaultSummary): string {
    const kinds = faultKinds.map(kind => `event=faultKind kind=${kind} struck=${summary.strikes[kind]}`);
    const violations = summary.violations.slice(0, shownViolations).map(({ seed, promise, detail, atMs }) =>
        `event=violation promise=${promise} seed=${seed} atMs=${atMs} detail=${JSON.stringify(detail)}`
    );
    const whole = [
        "event=faults",
        `seed=${summary.seed}`,
        `runs=${summary.runs}`,
        `without=${summary.without ?? "none"}`,
        `leastStruck=${Math.min(...faultKinds.map(kind => summary.strikes[kind]))}`,
        `simulatedMs=${summary.simulatedMs}`,
        `stepsDone=${summary.stepsDone}`,
        `groupsTaken=${summary.groupsTaken}`,
        `requests=${summary.requests}`,
        `owners=${summary.owners}`,
        `violations=${summary.violationCount}`,
    ];
    return [...kinds, ...violations, whole.join(" ")].join("\n");
}
