/**
 * The workload that one seed draws from a scenario. It is the same for all policies, so that their runs are comparable.
 */
export interface Workload {
    jobs: JobWorkload[];
    /** Interactive requests, in order of arrival. */
    interactive: { atMs: number; tokens: number; }[];
    /** Length of each sample by its generation seed. */
    tokensOf: Map<number, number>;
}

interface JobWorkload {
    steps: {
        groups: { prompt: string; seeds: number[]; }[];
        totalTokens: number;
        longestTokens: number;
    }[];
}
