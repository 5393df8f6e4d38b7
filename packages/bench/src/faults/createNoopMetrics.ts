import type { Metrics } from "@auburnarch/metrics/Metrics";

/** Metrics that nobody reads. */
export function createNoopMetrics(): Metrics {
    return {
        count: () => undefined,
        set: () => undefined,
        observeMs: () => undefined,
        render: async () => "",
    };
}
