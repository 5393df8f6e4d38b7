import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { EngineStatus } from "./EngineStatus.js";
import { jobItemsOf } from "./jobItemsOf.js";
import { jobTokensOf } from "./jobTokensOf.js";
import type { LoadSchedulerDeps } from "./LoadSchedulerDeps.js";
import { maxConcurrentLoads } from "./maxConcurrentLoads.js";
import type { OrderOutcome } from "./OrderOutcome.js";
import { planLoads } from "./planLoads.js";
import type { PolicyNeed } from "./PolicyNeed.js";
import { versionOf } from "./versionOf.js";

interface LoadScheduler {
    /** Plans the due loads and orders them. */
    round(): void;
    stop(): void;
}

/** Polling interval for a completed load, which becomes visible in the sampler's entry. */
const pollIntervalMs = 50;
/** An order without visible effect after this time is repeated; its expected count makes the first one void. */
const loadTimeoutMs = 2_500;
const failurePauseMs = 300;

/**
 * A sampler that restarted under its name counts its orders from zero. An order with the count of the sampler's other
 * start is refused while the two counts differ. Where they are equal, the order may be void although the load was never
 * performed.
 */
const isOfDifferentStart = (status: EngineStatus, sampler: RegisteredSampler): boolean =>
    status.bornAtMs !== undefined && sampler.bornAtMs !== undefined && status.bornAtMs !== sampler.bornAtMs;

const sizeOf = (
    jobs: readonly BatchJobEntry[],
    policy: PolicyId,
): Pick<PolicyNeed, "jobTokens" | "jobItems"> => ({
    jobTokens: jobTokensOf(jobs, policy),
    jobItems: jobItemsOf(jobs, policy),
});

type Assignment = Map<PolicyId, Set<IncarnationId>>;

function assignmentOf(assigned: Map<ServiceId, Assignment>, service: ServiceId): Assignment {
    const known = assigned.get(service) ?? new Map<PolicyId, Set<IncarnationId>>();
    assigned.set(service, known);
    return known;
}

/** Orders samplers to load the versions that trainers name, on behalf of the duty's holder. */
export function createLoadScheduler(deps: LoadSchedulerDeps): LoadScheduler {
    const { clock, logger, metrics, directory, orders } = deps;
    const versions = deps.watchVersions();
    const stopped = new AbortController();
    const blocked = new Map<IncarnationId, PolicyId>();
    /** By service, since services may share a policy. */
    const assignedAt = new Map<ServiceId, Assignment>();
    const namedAt = new Map<PolicyId, { version: WeightVersion; atMs: number; }>();
    /** Number of orders that each sampler has accepted, as far as known. */
    const accepted = new Map<IncarnationId, number>();
    let loading = 0;

    const servedVersion = (sampler: RegisteredSampler, policy: PolicyId): number =>
        versionOf(directory.find(sampler.incarnation), policy);

    async function waitForLoad(
        sampler: RegisteredSampler,
        policy: PolicyId,
        target: WeightVersion,
    ): Promise<boolean> {
        const deadlineMs = clock.monotonicMs() + loadTimeoutMs;
        while (clock.monotonicMs() < deadlineMs && !stopped.signal.aborted) {
            if (servedVersion(sampler, policy) >= target) {
                return true;
            }
            await clock.sleep(pollIntervalMs, stopped.signal);
        }
        return false;
    }

    async function countOrders(sampler: RegisteredSampler): Promise<number | undefined> {
        const known = accepted.get(sampler.incarnation);
        if (known !== undefined) {
            return known;
        }
        const status = await orders.readStatus(sampler);
        if (status === undefined || status.isBusy || isOfDifferentStart(status, sampler)) {
            return undefined;
        }
        accepted.set(sampler.incarnation, status.orders);
        return status.orders;
    }

    /** After an unclear answer the count is queried again before the next order. */
    function recordOutcome(sampler: RegisteredSampler, expectedOrders: number, outcome: OrderOutcome): void {
        if (outcome === "accepted") {
            accepted.set(sampler.incarnation, expectedOrders + 1);
        }
        else if (outcome !== "alreadyHolds") {
            accepted.delete(sampler.incarnation);
        }
    }

    async function load(
        sampler: RegisteredSampler,
        policy: PolicyId,
        version: WeightVersion,
    ): Promise<boolean> {
        const expectedOrders = await countOrders(sampler);
        if (expectedOrders === undefined || !deps.mayOrder()) {
            return false;
        }
        const { self, fencing } = deps;
        const order = { policy, version, runs: "preserved" as const, holder: self, fencing, expectedOrders };
        const outcome = await orders.load(sampler, order);
        recordOutcome(sampler, expectedOrders, outcome);
        const { incarnation } = sampler;
        logger.info("loadOrdered", {
            sampler: incarnation,
            policy,
            version,
            fencing,
            expectedOrders,
            outcome,
        });
        metrics.count("load_orders_total", { outcome });
        const mayTakeEffect = outcome === "accepted" || outcome === "alreadyHolds" || outcome === "unknown";
        return mayTakeEffect && waitForLoad(sampler, policy, version);
    }

    async function run(sampler: RegisteredSampler, policy: PolicyId, version: WeightVersion): Promise<void> {
        const { incarnation } = sampler;
        loading++;
        blocked.set(incarnation, policy);
        const startedAtMs = clock.monotonicMs();
        const isDone = await load(sampler, policy, version);
        const tookMs = Math.round(clock.monotonicMs() - startedAtMs);
        logger.info(isDone ? "loadDone" : "loadFailed", { sampler: incarnation, policy, version, tookMs });
        loading--;
        if (!isDone) {
            await clock.sleep(failurePauseMs, stopped.signal);
        }
        blocked.delete(incarnation);
        round();
    }

    function ageMsOf(policy: PolicyId, version: WeightVersion | undefined): number {
        const nowMs = clock.monotonicMs();
        const known = namedAt.get(policy);
        if (version !== undefined && known?.version !== version) {
            namedAt.set(policy, { version, atMs: nowMs });
            logger.info("versionNamed", { policy, version, before: known?.version });
        }
        return version === undefined ? 0 : nowMs - (namedAt.get(policy)?.atMs ?? nowMs);
    }

    function round(): void {
        const table = deps.routing();
        if (table === undefined || stopped.signal.aborted || !deps.mayOrder()) {
            return;
        }
        const jobs = [...deps.entries.objects()?.values() ?? []];
        const openPolicies = new Set(jobs.filter(job => !job.isEnded).map(job => job.policy));
        for (const { service, policies } of table.services.values()) {
            const needs = policies.map(policy => {
                const target = versions.objects()?.get(policy)?.version;
                const isIdle = !openPolicies.has(policy);
                const times = { ageMs: ageMsOf(policy, target), latenessMs: deps.latenessMs?.(policy) ?? 0 };
                return { policy, target, isIdle, ...times, ...sizeOf(jobs, policy) };
            });
            const samplers = directory.serving(service);
            const maxLoading = deps.maxLoading ?? maxConcurrentLoads(samplers.length);
            const query = { samplers, needs, blocked, loading, maxLoading };
            for (const due of planLoads({ ...query, assigned: assignmentOf(assignedAt, service) })) {
                void run(due.sampler, due.policy, due.version);
            }
        }
    }

    const unsubscribes = [versions.onChange(round), deps.entries.onChange(round)];
    return {
        round,
        stop: () => {
            stopped.abort();
            unsubscribes.forEach(end => end());
            versions.stop();
        },
    };
}
