import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import { createDispatcher } from "@auburnarch/dispatch/createDispatcher";
import type { Dispatcher } from "@auburnarch/dispatch/Dispatcher";
import type { DispatchPolicy } from "@auburnarch/dispatch/DispatchPolicy";
import type { CallSampler } from "@auburnarch/forwarding/CallSampler";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { JobId } from "@auburnarch/types/JobId";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { LimitsManifest } from "@auburnarch/types/LimitsManifest";
import type { Logger } from "@auburnarch/types/Logger";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Random } from "@auburnarch/types/Random";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { SamplerUse } from "../lateness/SamplerUse.js";
import { createItemPolicy } from "./createItemPolicy.js";
import { createItemRoutes } from "./createItemRoutes.js";
import { createItemSidecar } from "./createItemSidecar.js";
import { describeSampler } from "./describeSampler.js";
import type { ItemDispatch } from "./ItemDispatch.js";
import type { ItemRun } from "./ItemRun.js";
import { listOpenItems } from "./listOpenItems.js";
import type { ReadItemEvents } from "./ReadItemEvents.js";
import type { SamplerHealth } from "./SamplerHealth.js";
import { versionsOf } from "./versionsOf.js";

interface ItemDispatchDeps {
    routing: RoutingView;
    directory: SamplerDirectory;
    callSampler: CallSampler;
    readEvents: ReadItemEvents;
    samplerHealth: SamplerHealth;
    /** Number of runs that other runners have at a sampler, by their last answers. */
    countPeerRuns: (sampler: IncarnationId) => number;
    /** Expected events per second of one run at a sampler; as observed by this process by default. */
    eventsPerSecond?: (sampler: IncarnationId) => number | undefined;
    /** Leaves slots to steps of other policies; by default none. */
    adjustRoom?: (policy: PolicyId, sampler: IncarnationId, use: SamplerUse) => number;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    /** Creates the policy from the expected events of items; `createItemPolicy` by default. */
    createPolicy?: (hintOf: (task: string) => number | undefined) => DispatchPolicy;
}

interface RegisteredItem {
    run: ItemRun;
    onGenerated: (generated: GeneratedSample) => void;
}

interface ItemDispatcher {
    dispatcher: Dispatcher;
    /** The registered items that it runs. */
    runs: Map<SampleId, ItemRun>;
}

/**
 * Trainers request a step about this often; only an initial estimate, since the dispatcher learns the actual
 * interval.
 */
const stepIntervalMs = 4_000;
const anyPriority = 5;
/** Time for the first event of a run that was just sent; a suspected sampler has been silent for longer already. */
const stallMs = 400;
const noFencing = 0 as FencingNumber;
/** Limits that only apply to the product's own interface; items have their own. */
const limits: LimitsManifest = {
    maxBodyBytes: 33_554_432,
    maxQueuedPerTeam: 100_000,
    defaultDeadlineMs: 12_000,
    retryBudgetRatio: 1,
    maxSwappingRatio: 1,
    interactiveWaitMs: 0,
};

/** Items may run any number of times; only an item's own failures limit its retries. */
const alwaysRetry = (): boolean => true;

const noServices: ReadonlySet<ServiceId> = new Set();
/** Higher than any version that a batch job may require. */
const anyVersion = Number.MAX_SAFE_INTEGER as WeightVersion;

/** Represents "any weights" towards the dispatcher, which always requires a policy. */
const anyPolicy = "any" as PolicyId;

/** Whether a sampler that serves a version, if known, continues a text without adding another version. */
function isContinuedBy(spans: TokenSpan[], served: WeightVersion | undefined): boolean {
    const versions = versionsOf(spans);
    return versions.length === 1 && (served === undefined || versions[0] === served);
}

function toJob(prefix: string, policy: PolicyId | undefined): JobManifest {
    return {
        job: prefix as JobId,
        team: "" as TeamId,
        service: "" as ServiceId,
        policy: policy ?? anyPolicy,
        scoring: "",
        groupSize: 1,
        samplesPerStep: 0,
        maxStalenessVersions: 1,
        stepNeedMs: stepIntervalMs,
        priority: anyPriority,
        freshnessWeight: 0,
    };
}

/**
 * Creates the dispatchers: one for each path prefix and policy, since a trainer's batch jobs share the learned lengths.
 * A batch job stays with its dispatcher. Its route and services are not kept: a configuration may split a prefix off a
 * route, so each item is sent to the services that its own path has at that moment.
 */
export function createItemDispatch(deps: ItemDispatchDeps): ItemDispatch {
    const { directory, samplerHealth } = deps;
    const routes = createItemRoutes(deps.routing);
    const eventsPerSecond = deps.eventsPerSecond ?? samplerHealth.eventsPerSecond;
    const tasks = new Map<SampleId, RegisteredItem>();
    const dispatchers = new Map<string, ItemDispatcher>();
    const dispatcherOf = new WeakMap<BatchJob, ItemDispatcher>();
    const sidecars = new Map<SamplerId, Pick<SidecarPort, "runSample">>();

    const policy = (deps.createPolicy ?? createItemPolicy)(item =>
        tasks.get(item as SampleId)?.run.expectedEvents
    );

    function findSidecar(sampler: SamplerId): SidecarPort {
        let existing = sidecars.get(sampler);
        if (existing === undefined) {
            existing = createItemSidecar({
                ...deps,
                findRun: task => tasks.get(task)?.run,
                findRoute: routes.ofItem,
                mayRunAt: (run, service) => routes.servicesOf(run).has(service),
                findSampler: id => directory.find(id as string as IncarnationId),
            }, sampler);
            sidecars.set(sampler, existing);
        }
        return existing as SidecarPort;
    }

    /**
     * Lists the samplers of all services that items of a dispatcher are sent to, and may still be running at. Without
     * the latter, runs there would not be abandoned when they stall, and would lose their texts when they break off.
     */
    function listSamplers(runs: Iterable<ItemRun>, policy: PolicyId | undefined): SamplerView[] {
        const targeted = new Set([...runs].flatMap(run => [...routes.allServicesOf(run)]));
        return [...targeted].flatMap(service => directory.serving(service)).map(sampler => ({
            report: describeForPolicy(policy, sampler),
            reportAgeMs: 0,
            sentAttempts: samplerHealth.running(sampler.incarnation),
            sentTokens: 0,
            sentSinceReport: 0,
            suspected: samplerHealth.isSuspected(sampler.incarnation),
        }));
    }

    /** Takes the listed sampler, since its entry may expire before it is looked up again. */
    function describeForPolicy(
        policy: PolicyId | undefined,
        sampler: RegisteredSampler,
    ): SamplerView["report"] {
        const { incarnation } = sampler;
        const running = samplerHealth.running(incarnation) + deps.countPeerRuns(incarnation);
        const report = describeSampler(sampler, running);
        return policy === undefined
            ? { ...report, served: [{ policy: anyPolicy, version: anyVersion }] }
            : report;
    }

    /** On a route that requires a single version, a text is continued only by a sampler that serves its version. */
    function resumeAt(sample: SampleId, spans: TokenSpan[], sampler: SamplerId): TokenSpan[] {
        const run = tasks.get(sample)?.run;
        if (run === undefined || spans.length === 0 || routes.ofItem(run)?.isSingleVersion !== true) {
            return spans;
        }
        const served = directory.find(sampler as string as IncarnationId)?.served
            .find(each => each.policy === run.batchJob.policy)?.version;
        if (isContinuedBy(spans, served)) {
            return spans;
        }
        deps.logger.info("itemRestarted", { sample, sampler, versions: versionsOf(spans).join(","), served });
        return [];
    }

    function createItemDispatcher(prefix: string, jobPolicy: PolicyId | undefined): ItemDispatcher {
        const job = toJob(prefix, jobPolicy);
        const runs = new Map<SampleId, ItemRun>();
        const dispatcher = createDispatcher({
            ...deps,
            job: () => job,
            limits: () => limits,
            fencing: noFencing,
            listSamplers: () => listSamplers(runs.values(), jobPolicy),
            servicesOf: sample => {
                const run = runs.get(sample);
                return run === undefined ? noServices : routes.servicesOf(run);
            },
            resumeAt,
            sidecar: findSidecar,
            mayAct: () => true,
            onSampleGenerated: generated => tasks.get(generated.task.sample)?.onGenerated(generated),
            takeRetry: alwaysRetry,
            measuredTokensPerSecond: sampler => eventsPerSecond(sampler as string as IncarnationId),
            adjustRoom: (sampler, use) =>
                jobPolicy === undefined || deps.adjustRoom === undefined
                    ? use.room
                    : deps.adjustRoom(jobPolicy, sampler as string as IncarnationId, use),
            stallTimeoutMs: stallMs,
        }, policy);
        return { dispatcher, runs };
    }

    function findDispatcher(batchJob: BatchJob): ItemDispatcher {
        const { host, path, policy: jobPolicy } = batchJob;
        let found = dispatcherOf.get(batchJob);
        if (found === undefined) {
            const prefix = `${host}${routes.find(host, path)?.pathPrefix ?? path}`;
            const key = `${prefix} ${jobPolicy ?? ""}`;
            found = dispatchers.get(key) ?? createItemDispatcher(prefix, jobPolicy);
            dispatchers.set(key, found);
            dispatcherOf.set(batchJob, found);
        }
        return found;
    }

    return {
        dispatcherFor: batchJob => findDispatcher(batchJob).dispatcher,
        listItems: () =>
            [...dispatchers.values()].flatMap(({ dispatcher }) =>
                listOpenItems(dispatcher, task => tasks.get(task)?.run.batchJob, routes)
            ),
        register: (task, run, onGenerated) => {
            tasks.set(task, { run, onGenerated });
            findDispatcher(run.batchJob).runs.set(task, run);
        },
        unregister: task => {
            const registered = tasks.get(task);
            if (registered !== undefined) {
                tasks.delete(task);
                findDispatcher(registered.run.batchJob).runs.delete(task);
            }
        },
        stop: async () => {
            await Promise.all([...dispatchers.values()].map(({ dispatcher }) => dispatcher.stop()));
        },
    };
}
