import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { LeaseKeeper } from "@auburnarch/lease/LeaseKeeper";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { AwakeGuard } from "./AwakeGuard.js";
import type { EngineOrders } from "./EngineOrders.js";
import type { NamedVersion } from "./NamedVersion.js";
import { planLoads } from "./planLoads.js";
import type { WeightsDuty } from "./WeightsDuty.js";

interface WeightsDutyDeps {
    self: string;
    leases: LeaseKeeper;
    /** Watches the named versions; only the holder of the lease does. */
    watchVersions: () => WatchedKind<NamedVersion>;
    routing: RoutingView;
    directory: SamplerDirectory;
    orders: EngineOrders;
    awake: AwakeGuard;
    /** Samplers must not get orders of two holders within this time. */
    handOverMs: number;
    maxLoading: number;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
}

const leaseKey = "runner-leases/weights";
const tickMs = 150;
/** A load takes about 900 ms; its end is asked for from then on. */
const loadMs = 950;
const statusIntervalMs = 250;
/** An order of which nothing shows after this time is given again; the first one is void by its expected count. */
const loadTimeoutMs = 3_000;
const failurePauseMs = 300;
/** On top of the time that two holders keep apart, for what is under way when a lease ends. */
const handOverSlackMs = 300;

/** Makes the duty. One holder at a time: two that order the same sampler could take it back to older weights. */
export function createWeightsDuty(deps: WeightsDutyDeps): WeightsDuty {
    const { clock, logger, metrics, directory, orders } = deps;
    const stopped = new AbortController();

    function targetsOf(versions: WatchedKind<NamedVersion>): Map<PolicyId, WeightVersion> {
        const named = [...versions.objects() ?? []];
        return new Map(named.map(([policy, { version }]) => [policy as PolicyId, version]));
    }

    async function hold(lease: Lease): Promise<void> {
        const versions = deps.watchVersions();
        const blocked = new Map<IncarnationId, number>();
        const assigned = new Map<PolicyId, Set<IncarnationId>>();
        /** Versions that a sampler was seen to serve, ahead of its entry in the store. */
        const seen = new Map<string, WeightVersion>();
        let loading = 0;

        const mayOrder = (): boolean => lease.isHeld() && !stopped.signal.aborted && deps.awake.isAwake();

        function withSeen(sampler: KnownSampler): KnownSampler {
            const served = sampler.served.map(each => {
                const version = seen.get(`${sampler.incarnation} ${each.policy}`) ?? each.version;
                return { ...each, version: version > each.version ? version : each.version };
            });
            return { ...sampler, served };
        }

        async function readVersion(sampler: KnownSampler, policy: PolicyId): Promise<WeightVersion | undefined> {
            const status = await orders.readStatus(sampler);
            const version = status?.served.find(each => each.policy === policy)?.version;
            if (version !== undefined) {
                seen.set(`${sampler.incarnation} ${policy}`, version);
            }
            return status?.isBusy === true ? undefined : version;
        }

        async function waitForLoad(sampler: KnownSampler, policy: PolicyId, target: WeightVersion): Promise<boolean> {
            const untilMs = clock.monotonicMs() + loadTimeoutMs;
            await clock.sleep(loadMs, stopped.signal);
            while (clock.monotonicMs() < untilMs && !stopped.signal.aborted) {
                if ((await readVersion(sampler, policy) ?? -1) >= target) {
                    return true;
                }
                await clock.sleep(statusIntervalMs, stopped.signal);
            }
            return false;
        }

        async function load(sampler: KnownSampler, policy: PolicyId, version: WeightVersion): Promise<boolean> {
            const status = await orders.readStatus(sampler);
            if (status === undefined || status.isBusy || !mayOrder()) {
                return false;
            }
            const { fencing } = lease;
            const outcome = await orders.load(sampler, {
                policy,
                version,
                runs: "preserved",
                holder: deps.self,
                fencing,
                expectedOrders: status.orders,
            });
            logger.info("loadOrdered", { sampler: sampler.incarnation, policy, version, fencing, expectedOrders: status.orders, outcome });
            metrics.count("load_orders_total", { outcome });
            return (outcome === "accepted" || outcome === "alreadyHolds" || outcome === "unknown")
                && waitForLoad(sampler, policy, version);
        }

        async function run(sampler: KnownSampler, policy: PolicyId, version: WeightVersion): Promise<void> {
            loading++;
            blocked.set(sampler.incarnation, Infinity);
            const startedAtMs = clock.monotonicMs();
            const isDone = await load(sampler, policy, version);
            const tookMs = Math.round(clock.monotonicMs() - startedAtMs);
            logger.info(isDone ? "loadDone" : "loadFailed", { sampler: sampler.incarnation, policy, version, tookMs });
            blocked.set(sampler.incarnation, clock.monotonicMs() + (isDone ? 0 : failurePauseMs));
            loading--;
        }

        function round(): void {
            const table = deps.routing();
            if (table === undefined || !mayOrder()) {
                return;
            }
            const targets = targetsOf(versions);
            const nowMs = clock.monotonicMs();
            const busy = [...blocked].filter(([, untilMs]) => untilMs > nowMs).map(([sampler]) => sampler);
            for (const { service, policies } of table.services.values()) {
                const own = new Map([...targets].filter(([policy]) => policies.includes(policy)));
                const samplers = directory.serving(service).map(withSeen);
                const { maxLoading } = deps;
                const input = { samplers, targets: own, policies, blocked: new Set(busy), loading, maxLoading, assigned };
                for (const { sampler, policy, version } of planLoads(input)) {
                    void run(sampler, policy, version);
                }
            }
        }

        while (lease.isHeld() && !stopped.signal.aborted) {
            round();
            await clock.sleep(tickMs, stopped.signal);
        }
        versions.stop();
    }

    async function serve(): Promise<void> {
        while (!stopped.signal.aborted) {
            const lease = await deps.leases.acquire(leaseKey, stopped.signal);
            if (lease === undefined) {
                return;
            }
            if (lease.isFirst !== true) {
                await clock.sleep(deps.handOverMs + handOverSlackMs, stopped.signal);
            }
            logger.info("weightsDutyTaken", { fencing: lease.fencing, isFirst: lease.isFirst });
            await hold(lease);
            logger.info("weightsDutyEnded", { fencing: lease.fencing });
            await lease.release();
        }
    }

    void serve();
    return {
        stop: async () => {
            stopped.abort();
            await deps.leases.releaseAll();
        },
    };
}
