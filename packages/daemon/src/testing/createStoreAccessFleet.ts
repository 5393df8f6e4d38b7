import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createStoreCallHandler } from "@auburnarch/feeds/createStoreCallHandler";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createLeaseManager } from "@auburnarch/lease/createLeaseManager";
import { createLogger } from "@auburnarch/log/createLogger";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import { createDutyHolder } from "@auburnarch/runner/duties/createDutyHolder";
import type { RunnerStatus } from "@auburnarch/runner/peers/RunnerStatus";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import { createStoreAccess } from "../createStoreAccess.js";
import { createStoreHealth } from "../createStoreHealth.js";
import { isRelayableKey } from "../isRelayableKey.js";
import type { RoleContext } from "../RoleContext.js";

/** How the store treats a process: it answers, is silent without doing anything, or refuses. */
type Treatment = "served" | "silent" | "refused";

interface FleetProcess {
    access: ReturnType<typeof createStoreAccess>;
    createDuties(): { isHeld: () => boolean; mayAct: () => boolean; };
}

const storeTimeoutMs = 1_200;
const leaseTtlMs = 2_500;
const silentLogger: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silentLogger };

/** Creates runners and gateways whose access to one store can be taken from each of them, on a fake clock. */
export function createStoreAccessFleet(runnerNames: string[], relaysStoreCalls: boolean) {
    const clock = createFakeClock();
    const { store, control } = createFakeObjectStore({ clock, random: createRandom(4), latencyMs: 4 });
    const treatments = new Map<string, Treatment>();
    const addresses = new Map(runnerNames.map((host): [string, RunnerAddress] => [host, { host, port: 1 }]));
    const processes = new Map<
        string,
        { status: () => RunnerStatus; relay: (params: unknown) => Promise<unknown>; }
    >();
    const lines: { atMs: number; line: string; }[] = [];
    const state = {
        statusCalls: 0,
        relayedCalls: 0,
        isOldBuild: (_name: string): boolean => false,
        isDead: (_name: string): boolean => false,
        /** How long a call takes to reach a peer and its answer to come back. */
        peerDelayMs: 3,
    };
    const logger = createLogger(clock, line => lines.push({ atMs: clock.monotonicMs(), line }));
    let seed = 20;

    async function treat<T>(name: string, call: () => Promise<T>): Promise<T> {
        const treatment = treatments.get(name) ?? "served";
        if (treatment === "refused") {
            throw new ResultError(resultCodes.storeThrottled);
        }
        if (treatment === "silent") {
            await clock.sleep(storeTimeoutMs);
            throw new ResultError(resultCodes.storeUnavailable);
        }
        return call();
    }

    async function sendTo(host: string, timeoutMs: number): Promise<void> {
        const isLate = state.isDead(host) || state.peerDelayMs > timeoutMs;
        await clock.sleep(isLate ? timeoutMs : state.peerDelayMs);
        if (isLate) {
            throw new ResultError(resultCodes.sidecarUnreachable);
        }
    }

    function start(name: string): FleetProcess {
        const directStore: ObjectStore = {
            read: key => treat(name, () => store.read(key)),
            list: prefix => treat(name, () => store.list(prefix)),
            write: (...call) => treat(name, () => store.write(...call)),
            remove: (...call) => treat(name, () => store.remove(...call)),
            watch: (...call) => treat(name, () => store.watch(...call)),
        };
        const processLogger = logger.child({ process: name });
        const metrics = createMetrics();
        const touch = (): Promise<void> => treat(name, () => clock.sleep(4));
        const health = createStoreHealth(directStore, touch, clock, metrics, silentLogger, undefined, 250);
        const access = createStoreAccess({
            context: {
                settings: { name, relaysStoreCalls },
                clock,
                logger: processLogger,
                metrics,
            } as unknown as RoleContext,
            health,
            runners: () => addresses,
            runnerClient: {
                status: async ({ host }, timeoutMs) => {
                    state.statusCalls++;
                    await sendTo(host, timeoutMs);
                    return processes.get(host)!.status();
                },
                store: async ({ host }, call, timeoutMs) => {
                    state.relayedCalls++;
                    await sendTo(host, timeoutMs);
                    if (state.isOldBuild(host)) {
                        throw new ResultError(resultCodes.badRequest, "method runner.store");
                    }
                    return await processes.get(host)!.relay({ ...call, timeoutMs }) as never;
                },
            },
        });
        processes.set(name, {
            status: () => ({
                storeSilentMs: access.silentMs(),
                isLeaving: false,
                ...(state.isOldBuild(name) ? {} : { storeReach: access.reach() }),
            } as RunnerStatus),
            relay: createStoreCallHandler({
                direct: health.store,
                isRelayable: isRelayableKey,
                record: () => {},
                clock,
            }),
        });

        function createDuties() {
            let mayAct = (): boolean => false;
            const leases = createLeaseManager({
                store: access.store,
                clock,
                random: createRandom(seed++),
                logger: processLogger,
                invariants: createInvariants(processLogger, code => {
                    throw new Error(code.name);
                }),
                holder: name,
                ttlMs: leaseTtlMs,
                resumesOwnLeases: true,
            });
            const holder = createDutyHolder({
                leases,
                leaseTtlMs,
                areClocksTrusted: () => true,
                handOverMs: 2_000,
                duties: [held => {
                    mayAct = held.mayAct;
                    return { round: () => {}, stop: () => {} };
                }],
                clock,
                logger: processLogger,
            });
            return { isHeld: holder.isHeld, mayAct: () => mayAct() };
        }

        return { access, createDuties };
    }

    return {
        clock,
        control,
        state,
        lines,
        start,
        treat: (name: string, treatment: Treatment): void => void treatments.set(name, treatment),
    };
}
