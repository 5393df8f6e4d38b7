import { createFakeClient } from "@auburnarch/platform/testing/createFakeClient";
import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";
import type { PlainCall } from "./PlainCall.js";
import type { Program } from "./Program.js";
import type { PromiseChecker } from "./PromiseChecker.js";
import { soakTeam } from "./soakTeam.js";
import type { SoakTestBed } from "./SoakTestBed.js";

interface CallerDeps {
    bed: SoakTestBed;
    clock: Clock;
    random: Random;
    checker: PromiseChecker;
    name: string;
}

interface Caller {
    /** Sends requests until `signal` is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /** Whether a gateway serves the newest route in the configuration. */
    servesNewestRoute(gateway: Program): Promise<boolean>;
    calls(): PlainCall[];
    close(): void;
}

const ok = 200;
const notFound = 404;
const pauseMs = 60;
/** One call in this many requests a route that a particular version of the configuration added. */
const versionCallOneIn = 5;
const limitMs = 2_500;

/** Creates a client that sends plain requests and reuses its connections until they are closed. */
export function createSoakCaller({ bed, clock, random, checker, name }: CallerDeps): Caller {
    const client = createFakeClient(soakTeam.key);
    const calls: PlainCall[] = [];
    /** Newest version whose route was served, by start of a gateway. */
    const newestServed = new Map<string, number>();

    async function callPlain(gateway: Program): Promise<void> {
        const isRepeatable = random.nextInt(2) === 0;
        const requestId = `${name}-${calls.length}`;
        const call: PlainCall = { requestId, isRepeatable, status: 0 };
        calls.push(call);
        const path = `/${isRepeatable ? "tiles" : "alerts"}/${calls.length}`;
        const reply = await client.call(gateway.clientPort, {
            method: "POST",
            path,
            requestId,
            limitMs,
            body: "x",
        });
        if (reply.kind !== "answered") {
            return;
        }
        call.status = reply.status;
        const detail = { requestId, gateway: gateway.name, reply };
        const isOwnAnswer = reply.status !== ok
            || reply.body === "ok" && reply.proof === `proof of ${requestId}`;
        checker.check(isOwnAnswer, "an answer is whole and belongs to its request", detail);
        checker.check(reply.status !== notFound, "a known route is not refused", detail);
    }

    async function callVersion(gateway: Program, version: number): Promise<number> {
        const startOf = (): string => `${gateway.name}.${gateway.incarnation()}`;
        const start = startOf();
        const newest = newestServed.get(start) ?? 0;
        const reply = await client.call(gateway.clientPort, {
            method: "POST",
            path: `/v${version}/x`,
            requestId: `${name}-v${version}-${random.nextId()}`,
            limitMs,
            body: "x",
        });
        const status = reply.kind === "answered" ? reply.status : 0;
        if (status === ok && startOf() === start) {
            newestServed.set(start, Math.max(newest, version));
        }
        const isOutdated = status === notFound && version <= newest && startOf() === start;
        checker.check(!isOutdated, "the configuration goes forward only", { start, version, newest });
        return status;
    }

    return {
        run: async signal => {
            while (!signal.aborted) {
                const gateway = bed.gateways[random.nextInt(bed.gateways.length)]!;
                if (random.nextInt(versionCallOneIn) === 0) {
                    await callVersion(gateway, bed.configVersion());
                }
                else {
                    await callPlain(gateway);
                }
                await clock.sleep(pauseMs, signal);
            }
        },
        servesNewestRoute: async gateway => await callVersion(gateway, bed.configVersion()) === ok,
        calls: () => calls,
        close: client.close,
    };
}
