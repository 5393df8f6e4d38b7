import type { GroupStore } from "@auburnarch/types/GroupStore";

/** Creates an in-memory group store that outlives its owners. */
export function createTestGroupStore(): GroupStore {
    const records = new Map<
        string,
        { job: string; step: number; group: number; fencing: number; body: string; }
    >();
    const key = (job: string, step: number, group: number): string => `${job}/${step}/${group}`;
    return {
        save: async record => {
            records.set(key(record.job, record.step, record.group), record);
        },
        load: async (job, step) =>
            [...records.values()].filter(record => record.job === job && record.step === step),
        drop: async (job, step, groups) => {
            groups.forEach(group => records.delete(key(job, step, group)));
        },
    };
}
