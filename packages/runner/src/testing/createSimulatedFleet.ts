import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Random } from "@auburnarch/types/Random";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import { createStatusCheck } from "../lateness/createStatusCheck.js";
import type { PeerView } from "../peers/PeerView.js";
import type { RunnerStatus } from "../peers/RunnerStatus.js";
import { createSimulatedRunner } from "./createSimulatedRunner.js";
import { createSimulatedSamplers } from "./createSimulatedSamplers.js";
import type { SimulatedLoad } from "./SimulatedLoad.js";

interface SimulatedFleet {
    /** Submits a batch job; `onDone` is called for each item that is generated. */
    submit(batchJob: BatchJob, onDone: (item: SampleId) => void): void;
    end(batchJob: BatchJob): void;
    stop(): Promise<void>;
}

interface SimulatedFleetDeps {
    load: SimulatedLoad;
    host: string;
    policies: readonly PolicyId[];
    eventsOf: (item: string) => number;
    clock: Clock;
    random: Random;
    logger: Logger;
}

interface OpenJob {
    batchJob: BatchJob;
    owner: number;
    done: Set<SampleId>;
    onDone: (item: SampleId) => void;
}

const service = "rollout" as ServiceId;
const probeIntervalMs = 400;
const deadAfterMs = 1_300;

function watch<T>(objects: Map<string, T>): { kind: WatchedKind<T>; changed: () => void; } {
    const listeners: (() => void)[] = [];
    const onChange = (listener: () => void): () => void => {
        listeners.push(listener);
        return () => {};
    };
    return {
        kind: { objects: () => objects, ageMs: () => 0, onChange, stop: () => {} },
        changed: () => listeners.forEach(listener => listener()),
    };
}

/** Creates runners that share samplers and know of each other only by probes; a lost one is replaced after 1.3 s. */
export function createSimulatedFleet(deps: SimulatedFleetDeps): SimulatedFleet {
    const { load, host, policies, eventsOf, clock, random, logger } = deps;
    const shared = createSimulatedSamplers({
        clock,
        service,
        policies,
        eventMs: load.eventMs,
        slots: load.slotsPerSampler,
        eventsOf,
    });
    const table = {
        routes: [{ host, pathPrefix: "/", backends: [{ service, weight: 1 }], maxAttempts: 3 }],
        services: new Map([[service, { service, policies }]]),
    } as unknown as RoutingTable;
    const objects = new Map<string, BatchJobEntry>();
    const entries = watch(objects);
    const lost = new Set<number>();
    const views: Map<number, PeerView>[] = [];
    const check = createStatusCheck({ clock, logger });
    const runners = Array.from({ length: load.runners }, (_, at) => {
        views[at] = new Map();
        return createSimulatedRunner({
            name: `r${at}`,
            prioritizesLateTrainers: load.prioritizesLateTrainers,
            routing: () => table,
            directory: {
                isKnown: () => true,
                serving: () => shared.samplers,
                find: id => shared.samplers.find(({ incarnation }) => incarnation === id),
                isListed: () => true,
                ageMs: () => 0,
            },
            entries: entries.kind,
            callSampler: shared.callSampler,
            readEvents: shared.readEvents,
            peers: () => [...views[at]!.values()],
            clock,
            random: random.fork(),
            logger,
            metrics: createMetrics(),
        });
    });
    const jobs = new Map<BatchJobId, OpenJob>();

    function probe(from: number, to: number): void {
        const known = views[from]!.get(to);
        if (lost.has(to)) {
            if (known !== undefined) {
                views[from]!.set(to, { ...known, isAlive: false });
            }
            return;
        }
        const status = runners[to]!.status();
        const sent: unknown = load.alterStatus?.(to, status) ?? status;
        const received = JSON.parse(JSON.stringify(sent)) as RunnerStatus;
        const checked = check({ host: `r${to}`, port: 1 }, received);
        views[from]!.set(to, { name: `r${to}`, isAlive: true, answerAgeMs: 0, status: checked });
    }

    function probeAll(): void {
        runners.forEach((_, from) =>
            runners.forEach((__, to) => {
                if (from !== to && !lost.has(from)) {
                    probe(from, to);
                }
            })
        );
        clock.startTimer(probeIntervalMs, probeAll);
    }

    function ownerOf({ policy }: BatchJob): number {
        const live = runners.map((_, at) => at).filter(at => !lost.has(at));
        return live[policies.indexOf(policy!) % live.length]!;
    }

    function startJob(job: OpenJob): void {
        runners[job.owner]!.start(job.batchJob, item => job.done.has(item), job.onDone);
    }

    function loseRunner(runner: number): void {
        lost.add(runner);
        void runners[runner]!.stop();
        clock.startTimer(deadAfterMs, () =>
            jobs.forEach(job => {
                if (job.owner === runner) {
                    job.owner = ownerOf(job.batchJob);
                    startJob(job);
                }
            }));
    }

    probeAll();
    if (load.lost !== undefined) {
        const { runner, atMs } = load.lost;
        clock.startTimer(atMs, () => loseRunner(runner));
    }
    return {
        submit: (batchJob, onDone) => {
            objects.set(batchJob.lot, {
                total: batchJob.items.length,
                team: undefined,
                submittedAtMs: clock.wallMs(),
                policy: batchJob.policy,
                expectedTokens: undefined,
                isEnded: false,
            });
            entries.changed();
            const done = new Set<SampleId>();
            const job: OpenJob = {
                batchJob,
                owner: ownerOf(batchJob),
                done,
                onDone: item => {
                    done.add(item);
                    onDone(item);
                },
            };
            jobs.set(batchJob.lot, job);
            startJob(job);
        },
        end: batchJob => {
            const { owner } = jobs.get(batchJob.lot)!;
            jobs.delete(batchJob.lot);
            objects.set(batchJob.lot, { ...objects.get(batchJob.lot)!, isEnded: true });
            entries.changed();
            if (!lost.has(owner)) {
                runners[owner]!.end(batchJob);
            }
        },
        stop: async () => {
            await Promise.all(runners.map(runner => runner.stop()));
        },
    };
}
