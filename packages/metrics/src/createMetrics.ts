import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Metrics } from "./Metrics.js";

const latencyBucketsMs = [0.5, 1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 5_000, 30_000, 120_000];

/** Makes a process's metric registry. Names are created on first use, prefixed with `auburnarch_`. */
export function createMetrics(): Metrics {
    const registry = new Registry();
    const counters = new Map<string, Counter>();
    const gauges = new Map<string, Gauge>();
    const histograms = new Map<string, Histogram>();

    function once<T>(made: Map<string, T>, name: string, make: () => T): T {
        const present = made.get(name);
        if (present !== undefined) {
            return present;
        }
        const fresh = make();
        made.set(name, fresh);
        return fresh;
    }

    return {
        count: (name, labels, by = 1) => {
            const config = {
                name: `auburnarch_${name}`,
                help: name,
                labelNames: Object.keys(labels),
                registers: [registry],
            };
            once(counters, name, () => new Counter(config)).inc(labels, by);
        },
        set: (name, labels, value) => {
            const config = {
                name: `auburnarch_${name}`,
                help: name,
                labelNames: Object.keys(labels),
                registers: [registry],
            };
            once(gauges, name, () => new Gauge(config)).set(labels, value);
        },
        observeMs: (name, labels, valueMs) => {
            const config = {
                name: `auburnarch_${name}`,
                help: name,
                labelNames: Object.keys(labels),
                buckets: latencyBucketsMs,
                registers: [registry],
            };
            once(histograms, name, () => new Histogram(config)).observe(labels, valueMs);
        },
        render: () => registry.metrics(),
    };
}
