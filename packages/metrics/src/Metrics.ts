/** Metrics of one process, rendered in the Prometheus text format. */
export interface Metrics {
    count(name: string, labels: Record<string, string>, by?: number): void;
    set(name: string, labels: Record<string, string>, value: number): void;
    observeMs(name: string, labels: Record<string, string>, valueMs: number): void;
    render(): Promise<string>;
}
