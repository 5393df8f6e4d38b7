import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Metrics } from "./Metrics.js";

const latencyBucketsMs = [0.5, 1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 5_000, 30_000, 120_000];

/** Creates a process's metric registry. A metric is created on first use; its name gets the prefix `auburnarch_`. */
export function createMetrics(): Metrics {
    const registry = new Registry();
    const counters = new Map<string, Counter>();
    const gauges = new Map<string, Gauge>();
    const histograms = new Map<string, Histogram>();

    function getOrCreate<T>(metrics: Map<string, T>, name: string, create: () => T): T {
        const existing = metrics.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const created = create();
        metrics.set(name, created);
        return created;
    }

    return {
        count: (name, labels, by = 1) => {
            const config = {
                name: `auburnarch_${name}`,
                help: name,
                labelNames: Object.keys(labels),
                registers: [registry],
            };
            getOrCreate(counters, name, () => new Counter(config)).inc(labels, by);
        },
        set: (name, labels, value) => {
            const config = {
                name: `auburnarch_${name}`,
                help: name,
                labelNames: Object.keys(labels),
                registers: [registry],
            };
            getOrCreate(gauges, name, () => new Gauge(config)).set(labels, value);
        },
        observeMs: (name, labels, valueMs) => {
            const config = {
                name: `auburnarch_${name}`,
                help: name,
                labelNames: Object.keys(labels),
                buckets: latencyBucketsMs,
                registers: [registry],
            };
            getOrCreate(histograms, name, () => new Histogram(config)).observe(labels, valueMs);
        },
        render: () => registry.metrics(),
    };
}
