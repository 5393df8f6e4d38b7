import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { OpenItem } from "../items/OpenItem.js";
import { findLastItems } from "./findLastItems.js";
import { isLate } from "./isLate.js";
import { maxReportedMs } from "./maxReportedMs.js";
import type { StepStatus } from "./StepStatus.js";
import type { TrainerLateness } from "./TrainerLateness.js";

interface StepsInput {
    items: readonly OpenItem[];
    lateness: ReadonlyMap<PolicyId, TrainerLateness>;
    /** Time until a step is due; undefined if its batch job is no longer known. */
    dueInMs: (item: OpenItem) => number | undefined;
    /** Expected events per second of a sampler; of the samplers in general if the item waits. */
    eventsPerSecond: (sampler: IncarnationId | undefined) => number;
    /** Slots that the policy can count on: its equal share of all slots of the service. */
    fairSlots: number;
}

interface RemainingItem {
    remainingMs: number;
    /** Undefined while it waits. */
    sampler: IncarnationId | undefined;
}

/** Expected time of the longest remaining item; of the item that is sent last, including its wait, if that is longer. */
function expectLongestMs(items: readonly RemainingItem[], fairSlots: number): number {
    const longestMs = items.reduce((most, { remainingMs }) => Math.max(most, remainingMs), 0);
    const waiting = items.filter(({ sampler }) => sampler === undefined);
    const waitingMs = waiting.reduce((sum, { remainingMs }) => sum + remainingMs, 0);
    return Math.max(longestMs, waitingMs / Math.max(1, fairSlots, items.length - waiting.length));
}

/** Describes the open steps of this runner that have a policy, in the order of their first items. */
export function describeSteps(
    { items, lateness, dueInMs, eventsPerSecond, fairSlots }: StepsInput,
): StepStatus[] {
    const byStep = new Map<BatchJobId, OpenItem[]>();
    for (const item of items) {
        const { lot } = item.batchJob;
        const known = byStep.get(lot);
        if (known === undefined) {
            byStep.set(lot, [item]);
        }
        else {
            known.push(item);
        }
    }
    return [...byStep].flatMap(([lot, own]) => {
        const { policy } = own[0]!.batchJob;
        const dueMs = dueInMs(own[0]!);
        if (policy === undefined || dueMs === undefined) {
            return [];
        }
        const remaining = own.map(({ remainingEvents, sampler }) => ({
            sampler,
            remainingMs: remainingEvents / eventsPerSecond(sampler) * 1_000,
        }));
        const slackMs = Math.round(dueMs - expectLongestMs(remaining, fairSlots));
        const waitingItems = own.filter(({ sampler }) => sampler === undefined).length;
        return [{
            policy,
            lot,
            latenessMs: Math.min(maxReportedMs, Math.round(lateness.get(policy)?.latenessMs ?? 0)),
            slackMs: Math.max(-maxReportedMs, Math.min(maxReportedMs, slackMs)),
            waitingItems,
            runningItems: own.length - waitingItems,
            criticalSamplers: isLate(lateness.get(policy)) ? findLastItems(remaining) : [],
        }];
    });
}
