/** What one seed draws of a scenario; the same for every policy, so that their runs are compared sample by sample. */
export interface Workload {
    jobs: JobWorkload[];
    /** Interactive requests in order of arrival. */
    interactive: { atMs: number; tokens: number; }[];
    /** Length of the sample with this generation seed. */
    tokensOf: Map<number, number>;
}

interface JobWorkload {
    steps: {
        groups: { prompt: string; seeds: number[]; }[];
        totalTokens: number;
        longestTokens: number;
    }[];
}
