/** Address under which peers reach a runner, as registered in the store. */
export interface RunnerAddress {
    host: string;
    port: number;
}
