/** Keeps verified but unacknowledged groups beyond the owner's process. Losing it costs work, never truth. */
export interface GroupStore {
    save(record: { job: string; step: number; group: number; fencing: number; body: string; }): Promise<void>;
    load(job: string, step: number): Promise<{ group: number; fencing: number; body: string; }[]>;
    drop(job: string, step: number, groups: number[]): Promise<void>;
}
