import type { Clock } from "@auburnarch/types/Clock";
import { build, type Histogram } from "hdr-histogram-js";
import { Agent } from "node:http";
import { callOnce } from "./callOnce.js";
import { countFailure } from "./countFailure.js";
import type { Failures } from "./Failures.js";
import type { PathReport } from "./PathReport.js";

interface RateOptions {
    clock: Clock;
    token: string;
    direct: URL;
    through: URL;
    requestsPerSecond: number;
    durationMs: number;
}

interface Route {
    agent: Agent;
    url: URL;
    histogram: Histogram;
    failures: Failures;
}

const microsecondsPerMs = 1_000;

/**
 * Measures both routes at a fixed rate in the same period with alternating requests, so that load spikes of the machine
 * affect both. Requests start on schedule regardless of earlier ones.
 */
export async function measureAtRate(options: RateOptions): Promise<PathReport["plainAtRate"]> {
    const { clock, requestsPerSecond } = options;
    const routes = [options.direct, options.through].map(createRoute);
    const intervalMs = 1_000 / requestsPerSecond / routes.length;
    const calls: Promise<void>[] = [];
    const startMs = clock.monotonicMs();
    const count = Math.floor(options.durationMs / intervalMs);
    for (let at = 0; at < count; at++) {
        const dueMs = startMs + at * intervalMs;
        await clock.sleep(Math.max(0, dueMs - clock.monotonicMs()));
        calls.push(timeCall(options, routes[at % routes.length]!));
    }
    await Promise.all(calls);
    const [direct, through] = routes.map(summarize);
    routes.forEach(way => way.agent.destroy());
    return {
        requestsPerSecond,
        direct: direct!,
        through: through!,
        addedP50Ms: through!.p50Ms - direct!.p50Ms,
        addedP99Ms: through!.p99Ms - direct!.p99Ms,
    };
}

function createRoute(url: URL): Route {
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    return { agent: new Agent({ keepAlive: true }), url, histogram, failures: {} };
}

async function timeCall({ clock, token }: RateOptions, route: Route): Promise<void> {
    const startedAtMs = clock.monotonicMs();
    try {
        await callOnce({ agent: route.agent, url: route.url, method: "GET", token });
        route.histogram.recordValue(Math.round((clock.monotonicMs() - startedAtMs) * microsecondsPerMs));
    }
    catch (error) {
        countFailure(route.failures, error);
    }
}

function summarize(route: Route): PathReport["plainAtRate"]["direct"] {
    return {
        requests: route.histogram.totalCount,
        failures: route.failures,
        p50Ms: route.histogram.getValueAtPercentile(50) / microsecondsPerMs,
        p99Ms: route.histogram.getValueAtPercentile(99) / microsecondsPerMs,
    };
}
