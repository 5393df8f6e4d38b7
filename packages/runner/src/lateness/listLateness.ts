import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { estimateLateness } from "./estimateLateness.js";
import type { TrainerLateness } from "./TrainerLateness.js";

/** Lists the schedule of each policy's trainer; one that has just started or has stopped is not listed. */
export function listLateness(
    entries: Iterable<BatchJobEntry>,
    nowMs: number,
): Map<PolicyId, TrainerLateness> {
    const submitted = new Map<PolicyId, number[]>();
    for (const { policy, submittedAtMs } of entries) {
        if (policy !== undefined) {
            const known = submitted.get(policy);
            if (known === undefined) {
                submitted.set(policy, [submittedAtMs]);
            }
            else {
                known.push(submittedAtMs);
            }
        }
    }
    const trainers = new Map<PolicyId, TrainerLateness>();
    for (const [policy, submittedAtMs] of submitted) {
        const estimated = estimateLateness({ submittedAtMs, nowMs });
        if (estimated !== undefined) {
            trainers.set(policy, estimated);
        }
    }
    return trainers;
}
