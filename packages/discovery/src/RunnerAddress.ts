/** Where a runner's peers reach it, as registered in the store. */
export interface RunnerAddress {
    host: string;
    port: number;
}
