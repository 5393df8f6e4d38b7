/**
 * Stores verified but unacknowledged groups outside the owner's process. If its content is lost, the groups are
 * generated again; no guarantee is broken.
 */
export interface GroupStore {
    save(record: { job: string; step: number; group: number; fencing: number; body: string; }): Promise<void>;
    load(job: string, step: number): Promise<{ group: number; fencing: number; body: string; }[]>;
    drop(job: string, step: number, groups: number[]): Promise<void>;
}
