import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createSamplerDirectory } from "@auburnarch/discovery/createSamplerDirectory";
import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import { watchKind } from "@auburnarch/discovery/watchKind";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createFeedBackedStore } from "@auburnarch/feeds/createFeedBackedStore";
import { createFeedHub } from "@auburnarch/feeds/createFeedHub";
import { createOutageTracker } from "@auburnarch/feeds/createOutageTracker";
import { createRunnerCaller } from "@auburnarch/feeds/createRunnerCaller";
import type { FeedAnswer } from "@auburnarch/feeds/FeedAnswer";
import type { FeedHub } from "@auburnarch/feeds/FeedHub";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import { chooseFeeder } from "@auburnarch/runner/peers/chooseFeeder";
import { createStoreOutageMonitor } from "@auburnarch/runner/peers/createStoreOutageMonitor";
import type { RunnerStatus } from "@auburnarch/runner/peers/RunnerStatus";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import { createStoreHealth } from "../createStoreHealth.js";
import type { FeedFaults } from "./FeedFaults.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const runnerNames = ["r1", "r2", "r3", "r4"];
/** Peers consider a runner crashed after this time without an answer. */
const peerTimeoutMs = 1_300;
const storeLatencyMs = 4;
/** Processes that start together know no runners until this time. */
const registeredAtMs = 300;
/** A call to a silent store times out after this time. */
const storeTimeoutMs = 1_000;

const noFaults: FeedFaults = { isStoreDown: () => false, isReachable: () => true };

/**
 * Creates runners r1 to r4 and gateways g0, g1, … that watch three kinds, each with its own faults towards one store.
 */
export function createFeedFleet(gateways: number) {
    const clock = createFakeClock();
    const { store } = createFakeObjectStore({ clock, random: createRandom(4), latencyMs: storeLatencyMs });
    const state = { faults: noFaults, faultsSinceMs: 0, calls: 0, probes: 0 };
    const gatewayNames = Array.from({ length: gateways }, (_, at) => `g${at}`);
    const hubs = new Map<string, FeedHub>();
    const addresses = new Map(runnerNames.map((host): [string, RunnerAddress] => [host, { host, port: 1 }]));

    /** Calls that were pending when a process lost the store get no answer either. */
    async function callWithFaults<T>(process: string, call: () => Promise<T>): Promise<T> {
        const found = state.faults.isStoreDown(process) ? undefined : { value: await call() };
        if (found === undefined || state.faults.isStoreDown(process)) {
            await clock.sleep(storeTimeoutMs);
            throw new ResultError(resultCodes.storeUnavailable, "silent");
        }
        return found.value;
    }

    function storeOf(process: string): ObjectStore {
        const counted = <T>(call: () => Promise<T>): Promise<T> => {
            state.calls++;
            return callWithFaults(process, call);
        };
        return {
            ...store,
            read: key => counted(() => store.read(key)),
            list: prefix => counted(() => store.list(prefix)),
            watch: (prefix, since, waitMs) => counted(() => store.watch(prefix, since, waitMs)),
        };
    }

    async function touch(process: string): Promise<void> {
        state.probes++;
        await callWithFaults(process, () => clock.sleep(storeLatencyMs));
    }

    async function send(
        from: string,
        { host }: RunnerAddress,
        answer: () => Promise<FeedAnswer>,
        timeoutMs: number,
    ): Promise<FeedAnswer> {
        const isUnreachable = (): boolean => !state.faults.isReachable(from, host);
        const untilMs = clock.monotonicMs() + timeoutMs;
        const found = isUnreachable() ? undefined : await answer();
        if (found === undefined || isUnreachable()) {
            await clock.sleep(Math.max(0, untilMs - clock.monotonicMs()));
            throw new Error("no answer");
        }
        return found;
    }

    function start(self: string) {
        const health = createStoreHealth(storeOf(self), () => touch(self), clock, createMetrics(), silent);
        const isRunner = addresses.has(self);
        const isAlive = (peer: string): boolean =>
            state.faults.isReachable(self, peer) || clock.monotonicMs() - state.faultsSinceMs < peerTimeoutMs;
        const peersOf = () =>
            runnerNames.filter(name => name !== self).map(name => ({
                name,
                isAlive: isAlive(name),
                answerAgeMs: 0,
                status: { storeSilentMs: state.faults.isStoreDown(name) ? 500 : 0 } as RunnerStatus,
            }));
        const monitor = createStoreOutageMonitor({
            storeReach: () => ({ silentMs: health.silentMs() }),
            peers: peersOf,
            clock,
        });
        const hub = isRunner
            ? createFeedHub({
                self,
                feeder: avoided => chooseFeeder(self, health.silentMs() === 0, peersOf(), avoided),
                store: health.store,
                coalesceMsOf: () => 0,
                sinceStoreAnswerMs: health.sinceAnswerMs,
                sinceOutageMs: monitor.sinceOutageMs,
                clock,
                logger: silent,
            })
            : undefined;
        if (hub !== undefined) {
            hubs.set(self, hub);
        }
        const outages = createOutageTracker({
            storeSilentMs: health.silentMs,
            sinceStoreRecoveryMs: health.sinceRecoveryMs,
            clock,
        });
        const fed = createFeedBackedStore({
            self,
            inner: health.store,
            hub: () => hub,
            caller: createRunnerCaller({
                self,
                runners: () => clock.monotonicMs() < registeredAtMs ? undefined : addresses,
                clock,
                logger: silent,
            }),
            send: (address, query, timeoutMs) =>
                send(self, address, () => hubs.get(address.host)!.answer(query), timeoutMs),
            waitForStore: health.waitForStore,
            outages,
            clock,
        });
        const follow = <T>(kind: string): WatchedKind<T> =>
            watchKind({ store: fed, clock, logger: silent, kind, decode: (_name, value) => value as T });
        return {
            config: follow<unknown>("config"),
            runners: follow<unknown>("runners"),
            directory: createSamplerDirectory({
                entries: follow<RegisteredSampler>("servers"),
                sinceOutageMs: outages.sinceOutageMs,
                clock,
                logger: silent,
            }),
        };
    }

    const views = new Map([...runnerNames, ...gatewayNames].map(name => [name, start(name)]));

    async function readVersion(key: string): Promise<ObjectVersion> {
        const [current] = await Promise.all([store.read(key), clock.advance(10)]);
        return current?.version ?? 0 as ObjectVersion;
    }

    /** Writes `value`, by default the current time; resolves to the time after the store has accepted it. */
    async function put(key = "config/main", value: unknown = clock.monotonicMs()): Promise<number> {
        const version = await readVersion(key);
        await Promise.all([store.write(key, value, version), clock.advance(10)]);
        return clock.monotonicMs();
    }

    async function remove(key: string): Promise<void> {
        const version = await readVersion(key);
        await Promise.all([store.remove(key, version), clock.advance(10)]);
    }

    return { clock, state, put, remove, viewOf: (process: string) => views.get(process)! };
}
