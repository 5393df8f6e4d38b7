import type { Metrics } from "@auburnarch/metrics/Metrics";

/** Creates metrics that discard everything. */
export function createNoopMetrics(): Metrics {
    return {
        count: () => undefined,
        set: () => undefined,
        observeMs: () => undefined,
        render: async () => "",
    };
}
