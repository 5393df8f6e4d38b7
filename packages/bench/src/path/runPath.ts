import type { Clock } from "@auburnarch/types/Clock";
import { Agent } from "node:http";
import { addFailures } from "./addFailures.js";
import { callOnce } from "./callOnce.js";
import { measureAtRate } from "./measureAtRate.js";
import { measureStreams } from "./measureStreams.js";
import { measureThroughput } from "./measureThroughput.js";
import type { PathProcesses } from "./PathProcesses.js";
import type { PathReport } from "./PathReport.js";
import { startPath } from "./startPath.js";

type Phase = keyof PathReport["processes"][string];

interface PathOptions {
    clock: Clock;
    /** Length of each phase. */
    phaseMs: number;
    requestsPerSecond: number;
    streams: number;
    onPhase: (name: string) => void;
}

const connections = 32;
const warmUpMs = 2_000;
const tokensPerSecondOfStream = 50;
const bytesPerMegabyte = 1_048_576;
const readyLimitMs = 30_000;
const readyPollMs = 100;
/** Reports of the samplers that received no readiness request arrive within this time. */
const settleMs = 3_000;

/** Runs the path benchmark: each role in a process of its own on the loopback address, both routes in one run. */
export async function runPath(options: PathOptions): Promise<PathReport> {
    const path = await startPath();
    try {
        return await measurePath(options, path);
    }
    finally {
        await path.stop();
    }
}

/** Resolves when the entry has the manifest and the reports of the samplers. */
async function waitReady(clock: Clock, token: string, urls: URL[]): Promise<void> {
    const agent = new Agent();
    const body = JSON.stringify({ model: "bench", prompt: "ready", max_tokens: 1 });
    const isReady = async (url: URL): Promise<boolean> => {
        const post = url.pathname.endsWith("/completions");
        const call = { agent, url, token, method: post ? "POST" : "GET", body: post ? body : undefined };
        return callOnce(call).then(() => true, () => false);
    };
    const endMs = clock.monotonicMs() + readyLimitMs;
    for (const url of urls) {
        while (!await isReady(url)) {
            if (clock.monotonicMs() > endMs) {
                throw new Error(`${url.pathname} was not ready within ${readyLimitMs} ms`);
            }
            await clock.sleep(readyPollMs);
        }
    }
    await clock.sleep(settleMs);
}

async function measurePath(options: PathOptions, path: PathProcesses): Promise<PathReport> {
    const { clock, phaseMs, onPhase, requestsPerSecond, streams } = options;
    const { token } = path;
    const watched = [path.entry, path.plainSidecar, path.modelSidecars[0]!, path.plainService];
    const processes: PathReport["processes"] = {};
    const direct = new URL("/tile", path.plainService.address);
    const through = new URL("/v1/services/tiles/tile", path.entry.address);
    const model = new URL("/v1/services/model/v1/completions", path.entry.address);

    async function phase<T>(name: Phase, run: () => Promise<T>): Promise<T> {
        onPhase(name);
        const before = await Promise.all(watched.map(role => role.readUse()));
        const result = await run();
        const after = await Promise.all(watched.map(role => role.readUse()));
        watched.forEach((role, at) => {
            const cpuMs = after[at]!.cpuMs - before[at]!.cpuMs;
            const use = {
                coreShare: cpuMs / (after[at]!.atMs - before[at]!.atMs),
                residentMegabytes: after[at]!.residentBytes / bytesPerMegabyte,
            };
            processes[role.name] = { ...processes[role.name]!, [name]: use };
        });
        return result;
    }

    const flat = (url: URL, durationMs: number) =>
        measureThroughput({ clock, token, url, connections, durationMs });
    const tokensPerStream = Math.round(tokensPerSecondOfStream * phaseMs / 1_000);
    const streamed = (urls: URL[]) => measureStreams({ clock, token, urls, streams, tokensPerStream });

    await waitReady(clock, token, [through, model]);
    onPhase("warmUp");
    await flat(direct, warmUpMs);
    await flat(through, warmUpMs);
    await phase("idle", () => clock.sleep(phaseMs));
    const rate = { clock, token, direct, through, requestsPerSecond, durationMs: phaseMs };
    const plainAtRate = await phase("atRate", () => measureAtRate(rate));
    onPhase("flatOutDirect");
    const flatDirect = await flat(direct, phaseMs);
    const flatThrough = await phase("flatOut", () => flat(through, phaseMs));
    onPhase("streamedDirect");
    const streamDirect = await streamed(path.engines.map(each => new URL("/v1/completions", each.address)));
    const streamThrough = await phase("streamed", () => streamed([model]));
    return {
        plainAtRate,
        plainFlatOut: {
            connections,
            directPerSecond: flatDirect.perSecond,
            throughPerSecond: flatThrough.perSecond,
            throughputRatio: flatThrough.perSecond / flatDirect.perSecond,
            failures: addFailures(flatDirect.failures, flatThrough.failures),
        },
        streamed: {
            streams,
            directTokensPerSecond: streamDirect.perSecond,
            throughTokensPerSecond: streamThrough.perSecond,
            tokenRatio: streamThrough.perSecond / streamDirect.perSecond,
            failures: addFailures(streamDirect.failures, streamThrough.failures),
        },
        processes,
    };
}
