import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import { createDispatcher } from "@auburnarch/dispatch/createDispatcher";
import type { Dispatcher } from "@auburnarch/dispatch/Dispatcher";
import type { DispatchPolicy } from "@auburnarch/dispatch/DispatchPolicy";
import type { Lot } from "@auburnarch/lots/Lot";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { CallSampler } from "@auburnarch/relay/CallSampler";
import { findRoute } from "@auburnarch/routing/findRoute";
import type { Clock } from "@auburnarch/types/Clock";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { JobId } from "@auburnarch/types/JobId";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { LimitsManifest } from "@auburnarch/types/LimitsManifest";
import type { Logger } from "@auburnarch/types/Logger";
import type { MadeSample } from "@auburnarch/types/MadeSample";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Random } from "@auburnarch/types/Random";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { TeamId } from "@auburnarch/types/TeamId";
import { createItemPolicy } from "./createItemPolicy.js";
import { createItemSidecar } from "./createItemSidecar.js";
import { describeSampler } from "./describeSampler.js";
import type { ItemDispatch } from "./ItemDispatch.js";
import type { ItemRun } from "./ItemRun.js";
import type { ReadItemEvents } from "./ReadItemEvents.js";
import type { SamplerEvidence } from "./SamplerEvidence.js";

interface ItemDispatchDeps {
    routing: RoutingView;
    directory: SamplerDirectory;
    callSampler: CallSampler;
    readEvents: ReadItemEvents;
    evidence: SamplerEvidence;
    /** Runs that other runners have at a sampler, as of their last answer. */
    sentByPeers: (sampler: IncarnationId) => number;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    /** Made from the expected events of an item; `createItemPolicy` by default. */
    createPolicy?: (hintOf: (task: string) => number | undefined) => DispatchPolicy;
}

interface Registered {
    run: ItemRun;
    onMade: (made: MadeSample) => void;
}

/** Trainers ask for a step about this often; only a first guess, the dispatcher learns the rhythm. */
const stepRhythmMs = 4_000;
const anyPriority = 5;
/** A suspected sampler has been silent for longer already; a run just sent gets this long for its first event. */
const stallMs = 400;
const noFencing = 0 as FencingNumber;
/** Bounds that only the product's own interface sets; items have their own. */
const limits: LimitsManifest = {
    maxBodyBytes: 33_554_432,
    maxQueuedPerTeam: 100_000,
    defaultDeadlineMs: 12_000,
    retryBudgetRatio: 1,
    maxSwappingRatio: 1,
    interactiveWaitMs: 0,
};

/** Items may run any number of times, so their retries are bounded by each item's own failures alone. */
const alwaysRetry = (): boolean => true;

/** Makes the dispatchers: one for each path and policy, since a trainer's jobs share what is learnt of lengths. */
export function createItemDispatch(deps: ItemDispatchDeps): ItemDispatch {
    const { routing, directory, evidence } = deps;
    const tasks = new Map<SampleId, Registered>();
    const dispatchers = new Map<string, Dispatcher>();
    const sidecars = new Map<SamplerId, Pick<SidecarPort, "runSample">>();

    const policy = (deps.createPolicy ?? createItemPolicy)(item =>
        tasks.get(item as SampleId)?.run.expectedEvents
    );

    const routeOf = (host: string, path: string): ReturnType<typeof findRoute> => {
        const table = routing();
        return table === undefined ? undefined : findRoute(table, host, path);
    };

    function sidecar(sampler: SamplerId): SidecarPort {
        let known = sidecars.get(sampler);
        if (known === undefined) {
            known = createItemSidecar({
                ...deps,
                findRun: task => tasks.get(task)?.run,
                findRoute: ({ lot, item }) => routeOf(lot.host, item.path),
                findSampler: id => directory.find(id as string as IncarnationId),
            }, sampler);
            sidecars.set(sampler, known);
        }
        return known as SidecarPort;
    }

    /** Samplers of the services that the route goes to now; a change of the configuration shows at once. */
    function listSamplers(lot: Lot): SamplerView[] {
        const route = routeOf(lot.host, lot.path);
        const services = route?.backends.filter(backend => backend.weight > 0).map(backend => backend.service)
            ?? [];
        return services.flatMap(service => directory.serving(service)).map(sampler => ({
            report: describeForPolicy(lot, sampler.incarnation),
            reportAgeMs: 0,
            sentAttempts: evidence.running(sampler.incarnation),
            sentTokens: 0,
            sentSinceReport: 0,
            suspected: evidence.isSuspected(sampler.incarnation),
        }));
    }

    function describeForPolicy(lot: Lot, incarnation: IncarnationId): SamplerView["report"] {
        const sampler = directory.find(incarnation)!;
        const running = evidence.running(incarnation) + deps.sentByPeers(incarnation);
        const report = describeSampler(sampler, running);
        return lot.policy === undefined
            ? { ...report, served: [{ policy: anyPolicy, version: lot.minVersion }] }
            : report;
    }

    function toJob(lot: Lot): JobManifest {
        return {
            job: `${lot.host}${lot.path}` as JobId,
            team: "" as TeamId,
            service: (routeOf(lot.host, lot.path)?.backends[0]?.service ?? "") as ServiceId,
            policy: lot.policy ?? anyPolicy,
            scoring: "",
            groupSize: 1,
            samplesPerStep: lot.items.length,
            maxStalenessVersions: 1,
            stepNeedMs: stepRhythmMs,
            priority: anyPriority,
            freshnessWeight: 0,
        };
    }

    function dispatcherFor(lot: Lot): Dispatcher {
        const prefix = routeOf(lot.host, lot.path)?.pathPrefix ?? lot.path;
        const key = `${lot.host}${prefix} ${lot.policy ?? ""}`;
        let dispatcher = dispatchers.get(key);
        if (dispatcher === undefined) {
            dispatcher = createDispatcher({
                ...deps,
                job: () => toJob(lot),
                limits: () => limits,
                fencing: noFencing,
                listSamplers: () => listSamplers(lot),
                sidecar,
                mayAct: () => true,
                onMade: made => tasks.get(made.task.sample)?.onMade(made),
                takeRetry: alwaysRetry,
                paceOf: sampler => evidence.eventsPerSecond(sampler as string as IncarnationId),
                stallMs,
            }, policy);
            dispatchers.set(key, dispatcher);
        }
        return dispatcher;
    }

    return {
        dispatcherFor,
        register: (task, run, onMade) => void tasks.set(task, { run, onMade }),
        forget: task => void tasks.delete(task),
        stop: async () => {
            await Promise.all([...dispatchers.values()].map(dispatcher => dispatcher.stop()));
        },
    };
}

/** Stands for "any weights" towards the dispatcher, which always asks for a policy. */
const anyPolicy = "any" as PolicyId;
