import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { CallSampler } from "@auburnarch/forwarding/CallSampler";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import type { SampleId } from "@auburnarch/types/SampleId";
import { createItemDispatch } from "../items/createItemDispatch.js";
import { createSamplerHealth } from "../items/createSamplerHealth.js";
import type { ReadItemEvents } from "../items/ReadItemEvents.js";
import { stepDueMs } from "../items/stepDueMs.js";
import { toSampleTask } from "../items/toSampleTask.js";
import { createLateness } from "../lateness/createLateness.js";
import { countPeerRuns } from "../peers/countPeerRuns.js";
import type { PeerView } from "../peers/PeerView.js";
import type { RunnerStatus } from "../peers/RunnerStatus.js";
import { createPeerView } from "./createPeerView.js";

interface SimulatedRunnerDeps {
    name: string;
    prioritizesLateTrainers: boolean;
    routing: RoutingView;
    directory: SamplerDirectory;
    entries: WatchedKind<BatchJobEntry>;
    callSampler: CallSampler;
    readEvents: ReadItemEvents;
    peers: () => PeerView[];
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
}

interface SimulatedRunner {
    status(): RunnerStatus;
    /** Starts the items of a batch job that `isDone` does not know. */
    start(batchJob: BatchJob, isDone: (item: SampleId) => boolean, onDone: (item: SampleId) => void): void;
    /** Ends a batch job: none of its items run any more. */
    end(batchJob: BatchJob): void;
    stop(): Promise<void>;
}

/** Creates the part of a runner that dispatches items: samplers' health, dispatchers and, if enabled, lateness. */
export function createSimulatedRunner(deps: SimulatedRunnerDeps): SimulatedRunner {
    const { name, clock } = deps;
    const samplerHealth = createSamplerHealth(clock);
    const dispatch = createItemDispatch({
        ...deps,
        samplerHealth,
        countPeerRuns: sampler => countPeerRuns(sampler, deps.peers()),
        eventsPerSecond: sampler => (lateness ?? samplerHealth).eventsPerSecond(sampler),
        adjustRoom: (policy, sampler, use) => lateness?.adjustRoom(policy, sampler, use) ?? use.room,
    });
    const lateness = deps.prioritizesLateTrainers
        ? createLateness({ ...deps, samplerHealth, listItems: dispatch.listItems })
        : undefined;
    const taskOf = ({ lot }: BatchJob, item: SampleId): SampleId => `${lot}/${item}` as SampleId;

    return {
        status: () => ({
            ...createPeerView(name, { sent: samplerHealth.allRunning() }).status!,
            ...lateness?.status(),
        }),
        start: (batchJob, isDone, onDone) => {
            const needAtMs = clock.monotonicMs() + stepDueMs;
            const open = batchJob.items.filter(({ item }) => !isDone(item));
            const tasks = open.map((item, index) => {
                const task = taskOf(batchJob, item.item);
                const run = { batchJob, item, expectedEvents: item.expectedOutputTokens, failures: 0 };
                dispatch.register(task, { ...run, terminate: () => {} }, () => {
                    dispatch.unregister(task);
                    onDone(item.item);
                });
                const maxEvents = item.maxOutputTokens;
                return toSampleTask(batchJob, item, {
                    task,
                    index,
                    group: 0,
                    needAtMs,
                    maxEvents,
                    resume: [],
                });
            });
            dispatch.dispatcherFor(batchJob).submit(tasks);
        },
        end: batchJob => {
            const tasks = batchJob.items.map(({ item }) => taskOf(batchJob, item));
            dispatch.dispatcherFor(batchJob).withdraw(tasks);
            tasks.forEach(dispatch.unregister);
        },
        stop: dispatch.stop,
    };
}
