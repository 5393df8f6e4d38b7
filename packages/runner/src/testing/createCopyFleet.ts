import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { LogFields } from "@auburnarch/types/LogFields";
import type { Logger } from "@auburnarch/types/Logger";
import type { CopiedRun } from "../copies/CopiedRun.js";
import type { CopyCalls } from "../copies/CopyCalls.js";
import { createTextCopies } from "../copies/createTextCopies.js";
import type { TextCopies } from "../copies/TextCopies.js";
import { createTextCache } from "../items/createTextCache.js";
import type { TextCache } from "../items/TextCache.js";
import { createPeerView } from "./createPeerView.js";

/** What happens to a call: it arrives, it is lost before or after it is handled, or its method is unknown. */
type CallFate = "arrives" | "requestLost" | "answerLost" | "unknownMethod";

interface FleetRunner {
    copies: TextCopies;
    textCache: TextCache;
    runs: CopiedRun[];
    finished: Set<BatchJobId>;
}

interface SentCall {
    to: string;
    method: "storeTexts" | "readTexts";
    bytes: number;
    params: unknown;
}

const latencyMs = 1;

/** Creates runners with copies of texts that call each other under a fake clock. */
export function createCopyFleet(domains: Record<string, string>, copiesOfEach = 1) {
    const clock = createFakeClock();
    const names = Object.keys(domains);
    const addresses = new Map(names.map((host): [string, RunnerAddress] => [host, { host, port: 1 }]));
    const entries = new Map<string, BatchJobEntry>();
    const runners = new Map<string, FleetRunner>();
    const dead = new Set<string>();
    const sent: SentCall[] = [];
    const lines: { event: string; fields: LogFields; }[] = [];
    const inFlight = new Map<string, number>();
    let maxInFlight = 0;
    const state: { fateOf: (call: SentCall) => CallFate; } = { fateOf: () => "arrives" };

    const write = (event: string, fields: LogFields): void => void lines.push({ event, fields });
    const logger: Logger = { info: write, warn: write, error: write, child: () => logger };

    async function callOnce(
        to: string,
        method: SentCall["method"],
        params: unknown,
        timeoutMs: number,
    ): Promise<unknown> {
        const text = JSON.stringify(params);
        const sentCall: SentCall = { to, method, bytes: Buffer.byteLength(text), params: JSON.parse(text) };
        sent.push(sentCall);
        const fate = state.fateOf(sentCall);
        await clock.sleep(latencyMs);
        if (fate === "unknownMethod") {
            throw new ResultError(resultCodes.badRequest, `method ${method}`);
        }
        const isHandled = fate !== "requestLost" && !dead.has(to);
        const answer = isHandled ? runners.get(to)!.copies[method](sentCall.params) : undefined;
        if (fate !== "arrives" || answer === undefined) {
            await clock.sleep(timeoutMs);
            throw new ResultError(resultCodes.sidecarUnreachable, "no answer");
        }
        return JSON.parse(JSON.stringify(answer));
    }

    async function callCounted(...call: Parameters<typeof callOnce>): Promise<unknown> {
        const [to] = call;
        const count = (inFlight.get(to) ?? 0) + 1;
        inFlight.set(to, count);
        maxInFlight = Math.max(maxInFlight, count);
        return callOnce(...call).finally(() => inFlight.set(to, inFlight.get(to)! - 1));
    }

    const calls: CopyCalls = {
        storeTexts: ({ host }, request, timeoutMs) => callCounted(host, "storeTexts", request, timeoutMs),
        readTexts: ({ host }, request, timeoutMs) => callCounted(host, "readTexts", request, timeoutMs),
    };

    function start(self: string): void {
        const textCache = createTextCache();
        const runs: CopiedRun[] = [];
        const finished = new Set<BatchJobId>();
        const copies = createTextCopies({
            self,
            incarnation: `${self}-run`,
            failureDomain: domains[self]! as FailureDomain,
            copies: copiesOfEach,
            calls,
            textCache,
            entries: { objects: () => entries },
            registered: { objects: () => addresses },
            peers: () =>
                names.filter(name => name !== self).map(name =>
                    createPeerView(name, { failureDomain: domains[name]! as FailureDomain }, !dead.has(name))
                ),
            listRuns: () => runs,
            isFinished: lot => finished.has(lot),
            clock,
            logger,
            metrics: createMetrics(),
        });
        runners.set(self, { copies, textCache, runs, finished });
    }

    names.forEach(start);
    return {
        clock,
        entries,
        sent,
        lines,
        state,
        /** Highest number of calls to one runner at the same time. */
        maxInFlight: () => maxInFlight,
        runner: (name: string): FleetRunner => runners.get(name)!,
        kill: (name: string): void => {
            dead.add(name);
            runners.get(name)!.copies.stop();
        },
        stop: () => runners.forEach(({ copies }) => copies.stop()),
    };
}
