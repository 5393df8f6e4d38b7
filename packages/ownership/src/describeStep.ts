import { countGroups } from "@auburnarch/cursors/countGroups";
import { hasGroup } from "@auburnarch/cursors/hasGroup";
import type { OpenStep } from "./OpenStep.js";
import type { OwnerStatus } from "./OwnerStatus.js";

/** Returns one step's status row; `running` counts attempts, `waiting` samples without a running attempt. */
export function describeStep(step: OpenStep, running: number): OwnerStatus["steps"][number] {
    const groups = step.document.prompts.map((_, group) => group);
    const ready = groups.filter(group =>
        !hasGroup(step.furthestCursor.delivered, group) && step.ledger.wholeGroup(group) !== undefined
    );
    return {
        step: step.document.step,
        groups: groups.length,
        ready: ready.length,
        delivered: countGroups(step.furthestCursor),
        waiting: Math.max(0, step.outstanding.size - running),
        running,
        needAtMs: step.document.needAtMs,
    };
}
