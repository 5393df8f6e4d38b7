import type { Clock } from "@auburnarch/types/Clock";
import { Agent } from "node:http";
import { callOnce } from "./callOnce.js";
import { countFailure } from "./countFailure.js";
import type { Failures } from "./Failures.js";

interface ThroughputOptions {
    clock: Clock;
    token: string;
    url: URL;
    connections: number;
    durationMs: number;
}

/**
 * Measures the throughput of `connections` callers, each of which sends its next request as soon as the last has ended.
 */
export async function measureThroughput(
    options: ThroughputOptions,
): Promise<{ perSecond: number; failures: Failures; }> {
    const { clock, url, connections, token } = options;
    const agent = new Agent({ keepAlive: true, maxSockets: connections });
    const startMs = clock.monotonicMs();
    const endMs = startMs + options.durationMs;
    let done = 0;
    const failures: Failures = {};

    async function loop(): Promise<void> {
        while (clock.monotonicMs() < endMs) {
            try {
                await callOnce({ agent, url, method: "GET", token });
                done++;
            }
            catch (error) {
                countFailure(failures, error);
            }
        }
    }

    await Promise.all(Array.from({ length: connections }, loop));
    const elapsedMs = clock.monotonicMs() - startMs;
    agent.destroy();
    return { perSecond: done * 1_000 / elapsedMs, failures };
}
