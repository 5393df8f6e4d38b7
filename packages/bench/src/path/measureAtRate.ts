import type { Clock } from "@auburnarch/types/Clock";
import { build, type Histogram } from "hdr-histogram-js";
import { Agent } from "node:http";
import { callOnce } from "./callOnce.js";
import type { Failures } from "./Failures.js";
import { noteFailure } from "./noteFailure.js";
import type { PathReport } from "./PathReport.js";

interface RateOptions {
    clock: Clock;
    token: string;
    direct: URL;
    through: URL;
    requestsPerSecond: number;
    durationMs: number;
}

interface Way {
    agent: Agent;
    url: URL;
    histogram: Histogram;
    failures: Failures;
}

const microsecondsPerMs = 1_000;

/**
 * Measures both ways at a fixed rate in the same period, one request of the one way between two of the other, so
 * that a busy moment of the machine hits both. Requests start on schedule whatever the earlier ones do.
 */
export async function measureAtRate(options: RateOptions): Promise<PathReport["plainAtRate"]> {
    const { clock, requestsPerSecond } = options;
    const ways = [options.direct, options.through].map(startWay);
    const intervalMs = 1_000 / requestsPerSecond / ways.length;
    const calls: Promise<void>[] = [];
    const startMs = clock.monotonicMs();
    const count = Math.floor(options.durationMs / intervalMs);
    for (let at = 0; at < count; at++) {
        const dueMs = startMs + at * intervalMs;
        await clock.sleep(Math.max(0, dueMs - clock.monotonicMs()));
        calls.push(timeCall(options, ways[at % ways.length]!));
    }
    await Promise.all(calls);
    const [direct, through] = ways.map(summarize);
    ways.forEach(way => way.agent.destroy());
    return {
        requestsPerSecond,
        direct: direct!,
        through: through!,
        addedP50Ms: through!.p50Ms - direct!.p50Ms,
        addedP99Ms: through!.p99Ms - direct!.p99Ms,
    };
}

function startWay(url: URL): Way {
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    return { agent: new Agent({ keepAlive: true }), url, histogram, failures: {} };
}

async function timeCall({ clock, token }: RateOptions, way: Way): Promise<void> {
    const startedAtMs = clock.monotonicMs();
    try {
        await callOnce({ agent: way.agent, url: way.url, method: "GET", token });
        way.histogram.recordValue(Math.round((clock.monotonicMs() - startedAtMs) * microsecondsPerMs));
    }
    catch (error) {
        noteFailure(way.failures, error);
    }
}

function summarize(way: Way): PathReport["plainAtRate"]["direct"] {
    return {
        requests: way.histogram.totalCount,
        failures: way.failures,
        p50Ms: way.histogram.getValueAtPercentile(50) / microsecondsPerMs,
        p99Ms: way.histogram.getValueAtPercentile(99) / microsecondsPerMs,
    };
}
