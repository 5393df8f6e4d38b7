import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { StepLedger } from "./StepLedger.js";

interface GroupState {
    tasks: SampleTask[];
    made: Map<string, GeneratedSample>;
    isDelivered: boolean;
}

/** Creates an empty ledger. */
export function createStepLedger(): StepLedger {
    const steps = new Map<number, Map<number, GroupState>>();
    let pending = 0;

    function groupOf(task: SampleTask): GroupState {
        const groups = steps.get(task.step) ?? new Map<number, GroupState>();
        steps.set(task.step, groups);
        const group = groups.get(task.group) ?? { tasks: [], made: new Map(), isDelivered: false };
        groups.set(task.group, group);
        return group;
    }

    return {
        open: tasks => {
            tasks.forEach(task => groupOf(task).tasks.push(task));
            pending += tasks.length;
        },
        take: made => {
            const group = groupOf(made.task);
            if (group.made.has(made.task.sample)) {
                throw new Error(`${made.task.sample} was generated twice`);
            }
            group.made.set(made.task.sample, made);
            pending--;
        },
        deliver: (step, minVersion) => {
            const delivered: GeneratedSample[] = [];
            const regenerate: SampleTask[] = [];
            for (const group of steps.get(step)?.values() ?? []) {
                const isWhole = !group.isDelivered && group.made.size === group.tasks.length;
                const stale = !isWhole ? [] : [...group.made.values()]
                    .filter(made => made.answer.spans.some(span => span.version < minVersion));
                for (const made of stale) {
                    group.made.delete(made.task.sample);
                    regenerate.push(made.task);
                    pending++;
                }
                if (isWhole && stale.length === 0) {
                    group.isDelivered = true;
                    delivered.push(...group.made.values());
                }
            }
            return { delivered, regenerate };
        },
        isDelivered: step => [...steps.get(step)?.values() ?? []].every(group => group.isDelivered),
        countPending: () => pending,
    };
}
