import type { BatchJob } from "@auburnarch/batches/BatchJob";
import type { BatchJobItem } from "@auburnarch/batches/BatchJobItem";
import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { SamplerDirectory } from "@auburnarch/discovery/SamplerDirectory";
import { createTestSampler } from "@auburnarch/discovery/testing/createTestSampler";
import type { SamplerReply } from "@auburnarch/forwarding/SamplerReply";
import type { SamplerRequest } from "@auburnarch/forwarding/SamplerRequest";
import { createTestRoute } from "@auburnarch/forwarding/testing/createTestRoute";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { RouteBackend } from "@auburnarch/routing/RouteBackend";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { Logger } from "@auburnarch/types/Logger";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { expect, test } from "vitest";
import { createItemDispatch } from "./createItemDispatch.js";
import { createSamplerHealth } from "./createSamplerHealth.js";
import type { ItemEvent } from "./ItemEvent.js";
import { toSampleTask } from "./toSampleTask.js";

interface Run {
    request: SamplerRequest;
    isCancelled: boolean;
    /** Breaks the stream off. */
    reset(): void;
    /** Sends an event, or ends the stream without one. */
    send(event: ItemEvent | undefined): void;
}

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const policy = "m0" as PolicyId;
const backendOf = (service: string): RouteBackend => ({ service: service as ServiceId, weight: 1 });
const routeOf = (pathPrefix: string, service: string) =>
    createTestRoute("rollout", { name: pathPrefix, pathPrefix, backends: [backendOf(service)] });
const tableOf = (
    ...routes: RoutingTable["routes"]
): RoutingTable => ({ routes, services: new Map() } as unknown as RoutingTable);
const samplerOf = (name: string, service: string): RegisteredSampler =>
    createTestSampler(name, {
        service: service as ServiceId,
        served: [{ policy, version: 4 as WeightVersion }],
        maxBatch: 1,
    });
const whole = tableOf(routeOf("/roll/", "a"));
const split = tableOf(routeOf("/roll/", "a"), routeOf("/roll/east/", "b"));

function createJob(path: string, over: Partial<BatchJob> = {}): BatchJob {
    const item = {
        item: "i1" as SampleId,
        path: `${path}/i1`,
        headers: {},
        bodyBase64: "",
    } as unknown as BatchJobItem;
    return {
        lot: path,
        host: "a",
        path,
        step: 1 as StepNumber,
        policy,
        minVersion: 3 as WeightVersion,
        items: [item],
        ...over,
    } as unknown as BatchJob;
}

function createFixture(
    samplers: RegisteredSampler[],
    initial: RoutingTable,
    over: Partial<SamplerDirectory> = {},
) {
    const clock = createFakeClock();
    const runs: Run[] = [];
    const made: string[] = [];
    let table = initial;
    const directory: SamplerDirectory = {
        isKnown: () => true,
        serving: service => samplers.filter(sampler => sampler.service === service),
        find: incarnation => samplers.find(sampler => sampler.incarnation === incarnation),
        isListed: () => true,
        ageMs: () => 0,
        ...over,
    };
    const streams = new Map<AsyncIterable<Uint8Array>, AsyncIterable<ItemEvent>>();

    async function callSampler(request: SamplerRequest, signal: AbortSignal): Promise<SamplerReply> {
        const events: (ItemEvent | undefined)[] = [];
        let wake = (): void => {};
        let isReset = false;
        const run: Run = {
            request,
            isCancelled: false,
            reset: () => {
                isReset = true;
                wake();
            },
            send: event => {
                events.push(event);
                wake();
            },
        };
        runs.push(run);
        signal.addEventListener("abort", () => {
            run.isCancelled = true;
            wake();
        });
        const body = (async function*() {})();
        streams.set(
            body,
            (async function*() {
                for (;;) {
                    if (run.isCancelled || isReset) {
                        throw new Error("given up");
                    }
                    if (events.length === 0) {
                        await new Promise<void>(resolve => wake = resolve);
                        continue;
                    }
                    const event = events.shift();
                    if (event === undefined) {
                        return;
                    }
                    yield event;
                }
            })(),
        );
        const weightVersion = request.sampler.served[0]?.version;
        return { kind: "answered", status: 200, headers: {}, body, signature: "proof", weightVersion };
    }

    const dispatch = createItemDispatch({
        routing: () => table,
        directory,
        callSampler,
        readEvents: body => streams.get(body)!,
        samplerHealth: createSamplerHealth(clock),
        countPeerRuns: () => 0,
        clock,
        random: createRandom(1),
        logger: silent,
        metrics: createMetrics(),
    });
    const taskOf = (job: BatchJob): SampleId => `${job.lot}/i1` as SampleId;

    return {
        clock,
        runs,
        made,
        dispatch,
        configure: (next: RoutingTable) => {
            table = next;
        },
        submit: (job: BatchJob) => {
            const item = job.items[0]!;
            const run = { batchJob: job, item, expectedEvents: 20, failures: 0, terminate: () => {} };
            dispatch.register(taskOf(job), run, ({ answer }) => {
                made.push(
                    `${job.lot} ${answer.spans.map(({ version, text }) => `${version}:${text.trim()}`)}`,
                );
            });
            const details = {
                task: taskOf(job),
                index: 0,
                group: 0,
                needAtMs: 5_000,
                maxEvents: 50,
                resume: [],
            };
            dispatch.dispatcherFor(job).submit([toSampleTask(job, item, details)]);
        },
        withdraw: (job: BatchJob) => dispatch.dispatcherFor(job).withdraw([taskOf(job)]),
        sent: () => runs.map(({ request }) => `${request.path} at ${request.sampler.service}`),
    };
}

const event = (number: number, version?: number): ItemEvent => ({
    number,
    data: `e${number}`,
    weightVersion: version as WeightVersion | undefined,
});
const single = tableOf(
    createTestRoute("rollout", { pathPrefix: "/roll/", backends: [backendOf("a")], isSingleVersion: true }),
);
const withVersion = (sampler: RegisteredSampler, version: number): RegisteredSampler => ({
    ...sampler,
    served: [{ policy, version: version as WeightVersion }],
});

test("after a prefix is split off, the items of each path run at the service of that path", async () => {
    // Guards against a dispatcher that keeps the route of the first batch job it was created for.
    const { clock, submit, configure, sent, dispatch } = createFixture(
        [samplerOf("a1", "a"), samplerOf("a2", "a"), samplerOf("b1", "b")],
        whole,
    );
    submit(createJob("/roll/east/e1"));
    await clock.advance(100);
    configure(split);
    submit(createJob("/roll/west/w2"));
    submit(createJob("/roll/east/e3"));
    await clock.advance(500);
    expect(sent().sort()).toEqual([
        "/roll/east/e1/i1 at a",
        "/roll/east/e3/i1 at b",
        "/roll/west/w2/i1 at a",
    ]);
    await dispatch.stop();
});

test("a queued item follows a prefix that is split off while it waits", async () => {
    // Guards against items that wait for the samplers of a service they may no longer run at.
    const { clock, submit, configure, sent, dispatch } = createFixture(
        [samplerOf("a1", "a"), samplerOf("b1", "b")],
        whole,
    );
    submit(createJob("/roll/west/w1"));
    await clock.advance(100);
    submit(createJob("/roll/east/e2"));
    await clock.advance(100);
    expect(sent()).toEqual(["/roll/west/w1/i1 at a"]);
    configure(split);
    await clock.advance(300);
    expect(sent()).toEqual(["/roll/west/w1/i1 at a", "/roll/east/e2/i1 at b"]);
    await dispatch.stop();
});

test("a running item moves to the service of its path, and continues after its last event", async () => {
    // Guards against runs that stay at a service that a configuration has taken their path from.
    const { clock, submit, configure, runs, made, sent, dispatch } = createFixture(
        [samplerOf("a1", "a"), samplerOf("b1", "b")],
        whole,
    );
    submit(createJob("/roll/east/e1"));
    await clock.advance(100);
    runs[0]!.send(event(1));
    runs[0]!.send(event(2));
    await clock.advance(50);
    configure(split);
    await clock.advance(300);
    expect([sent(), runs[0]!.isCancelled, runs[1]?.request.lastEventNumber]).toEqual([
        ["/roll/east/e1/i1 at a", "/roll/east/e1/i1 at b"],
        true,
        2,
    ]);
    runs[1]!.send(event(3));
    runs[1]!.send(undefined);
    await clock.advance(50);
    expect(made).toEqual(["/roll/east/e1 4:e1\ne2,4:e3"]);
    await dispatch.stop();
});

test("a running item goes on where it is while no sampler of its new service has room", async () => {
    // Guards against texts that are cut off although nothing can continue them.
    const { clock, submit, configure, runs, dispatch } = createFixture([samplerOf("a1", "a")], whole);
    submit(createJob("/roll/east/e1"));
    await clock.advance(100);
    configure(split);
    await clock.advance(500);
    expect(runs.map(({ isCancelled }) => isCancelled)).toEqual([false]);
    await dispatch.stop();
});

test("a run that breaks off at a service that its path no longer has keeps its text", async () => {
    // Guards against texts that are generated again, since the sampler that generated them is not listed any more.
    const samplers = [samplerOf("a1", "a")];
    const { clock, submit, configure, runs, sent, dispatch } = createFixture(samplers, whole);
    submit(createJob("/roll/east/e1"));
    await clock.advance(100);
    runs[0]!.send(event(1));
    await clock.advance(10);
    configure(split);
    await clock.advance(100);
    runs[0]!.reset();
    await clock.advance(300);
    expect(sent()).toEqual(["/roll/east/e1/i1 at a"]);
    samplers.push(samplerOf("b1", "b"));
    await clock.advance(300);
    expect(runs.at(-1)!.request).toMatchObject({ lastEventNumber: 1, sampler: { service: "b" } });
    await dispatch.stop();
});

test("a batch job that ends after its prefix was split off is withdrawn where it runs", async () => {
    // Guards against runs that go on for a batch job that has ended, since another dispatcher was asked to end them.
    const { clock, submit, withdraw, configure, runs, dispatch } = createFixture(
        [samplerOf("a1", "a")],
        whole,
    );
    const job = createJob("/roll/east/e1");
    submit(job);
    await clock.advance(100);
    configure(split);
    withdraw(job);
    await clock.advance(100);
    expect(runs.map(({ isCancelled }) => isCancelled)).toEqual([true]);
    await dispatch.stop();
});

test("an item that may use any weights runs whatever version its batch job and the first one require", async () => {
    // Guards against a dispatcher that keeps the oldest version that the first of its batch jobs allows.
    const { clock, submit, sent, dispatch } = createFixture(
        [samplerOf("a1", "a"), samplerOf("a2", "a")],
        whole,
    );
    submit(createJob("/roll/1", { policy: undefined, minVersion: 0 as WeightVersion }));
    submit(createJob("/roll/2", { policy: undefined, minVersion: 4 as WeightVersion }));
    await clock.advance(300);
    expect(sent()).toEqual(["/roll/1/i1 at a", "/roll/2/i1 at a"]);
    await dispatch.stop();
});

test.each([
    { served: 5, lastEventNumber: undefined, text: "5:e1" },
    { served: 4, lastEventNumber: 1, text: "4:e1,4:e2" },
])(
    "on a single-version route, a text of version 4 goes to a sampler of version $served after a crash",
    async ({ served, lastEventNumber, text }) => {
        // Guards against results that list two versions after a sampler crash.
        const samplers = [samplerOf("a1", "a")];
        const { clock, submit, runs, made, dispatch } = createFixture(samplers, single);
        submit(createJob("/roll/1"));
        await clock.advance(100);
        runs[0]!.send(event(1));
        await clock.advance(10);
        samplers.push(withVersion(samplerOf("a2", "a"), served));
        runs[0]!.reset();
        await clock.advance(500);
        expect(runs[1]?.request.lastEventNumber).toBe(lastEventNumber);
        runs[1]!.send(event(lastEventNumber === undefined ? 1 : 2));
        runs[1]!.send(undefined);
        await clock.advance(50);
        expect(made).toEqual([`/roll/1 ${text}`]);
        await dispatch.stop();
    },
);

test("on a single-version route, a run whose sampler loads other weights starts over", async () => {
    // Guards against a text of several versions after a load that preserves runs.
    const samplers = [samplerOf("a1", "a")];
    const { clock, submit, runs, made, dispatch } = createFixture(samplers, single);
    submit(createJob("/roll/1"));
    await clock.advance(100);
    runs[0]!.send(event(1));
    runs[0]!.send(event(2, 5));
    await clock.advance(500);
    // Until its entry shows the new version, the sampler is asked to continue the text, at intervals.
    expect(runs.length).toBeLessThan(6);
    expect(runs[1]?.request.lastEventNumber).toBe(1);
    runs.at(-1)!.send(event(2, 5));
    samplers[0] = withVersion(samplers[0]!, 5);
    await clock.advance(500);
    expect(runs.at(-1)!.request.lastEventNumber).toBeUndefined();
    runs.at(-1)!.send(event(1));
    runs.at(-1)!.send(undefined);
    await clock.advance(50);
    expect(made).toEqual(["/roll/1 5:e1"]);
    await dispatch.stop();
});

test("a sampler whose entry expires between list and look-up is left out", async () => {
    // Guards against an error in a timer, which ends the runner.
    const samplers = [samplerOf("a1", "a"), samplerOf("a2", "a")];
    const { clock, submit, runs, dispatch } = createFixture(samplers, whole, {
        find: incarnation => incarnation === samplers[0]!.incarnation ? undefined : samplers[1],
    });
    submit(createJob("/roll/1"));
    submit(createJob("/roll/2"));
    await clock.advance(500);
    expect(runs.map(({ request }) => request.sampler.instance)).toEqual(["a2"]);
    await dispatch.stop();
});

test.each([1, 3, 5, 12])(
    "an item whose samplers crashed in %i bursts before its first event runs within a second of the calm",
    async bursts => {
        // Guards against an item that waits for minutes after its samplers have crashed, until its step is over.
        const samplers = [samplerOf("a0", "a")];
        const { clock, submit, runs, made, dispatch } = createFixture(samplers, whole);
        submit(createJob("/roll/1"));
        for (let burst = 1; burst <= bursts; burst++) {
            await clock.runUntil(() => runs.length >= burst, 2_000);
            runs.at(-1)!.reset();
            samplers[0] = samplerOf(`a${burst}`, "a");
        }
        await clock.advance(1_000);
        expect(runs.length).toBeGreaterThan(bursts);
        runs.at(-1)!.send(event(1));
        runs.at(-1)!.send(undefined);
        await clock.advance(50);
        expect(made).toEqual(["/roll/1 4:e1"]);
        await dispatch.stop();
    },
);
