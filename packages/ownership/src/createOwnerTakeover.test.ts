import { createRandom } from "@auburnarch/clock/createRandom";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { StepSpec } from "@auburnarch/types/StepSpec";
import { expect, test } from "vitest";
import type { Owner } from "./Owner.js";
import { connectToOwner } from "./testing/connectToOwner.js";
import { createTestTrainer } from "./testing/createTestTrainer.js";
import { createTestWorld } from "./testing/createTestWorld.js";
import type { TestWorld } from "./testing/TestWorld.js";

type Started = Awaited<ReturnType<TestWorld["startOwner"]>>;

const step = 0 as StepNumber;
const spec: StepSpec = {
    step,
    prompts: Array.from({ length: 3 }, (_, group) => ({ prompt: `prompt ${group}`, maxTokens: 8 })),
    needAtMs: undefined,
};
const weights = (version: number): PublishedWeights =>
    ({ policy: "plume", version, location: `plume/${version}` }) as unknown as PublishedWeights;

async function settle<T>(world: TestWorld, call: Promise<T>): Promise<T> {
    let isOver = false;
    const ended = call.finally(() => {
        isOver = true;
    });
    ended.catch(() => undefined);
    await world.clock.runUntil(() => isOver, 120_000);
    return await ended;
}

const startedSamples = (world: TestWorld): number =>
    world.sidecars.reduce((sum, sidecar) => sum + sidecar.started(), 0);

const codeOfRejection = (world: TestWorld, call: Promise<unknown>): Promise<string> =>
    settle(world, call.then(() => "resolved", (error: { code: { name: string; }; }) => error.code.name));

const read = (world: TestWorld, owner: Owner, cursor?: string, waitMs = 5_000): Promise<GroupsPage> =>
    settle(world, owner.readGroups(step, cursor, waitMs));

function startTrainer(
    world: TestWorld,
    currentOwner: () => Owner | undefined,
    faults: { steps: number; rereadChance: number; loseAnswerChance: number; } = {
        steps: 2,
        rereadChance: 0,
        loseAnswerChance: 0,
    },
): ReturnType<typeof createTestTrainer> {
    const trainer = createTestTrainer({
        clock: world.clock,
        random: createRandom(7),
        job: world.job.job,
        policy: world.job.policy,
        groupSize: world.job.groupSize,
        maxStalenessVersions: world.job.maxStalenessVersions,
        groupsPerStep: 2,
        maxTokens: 4,
        connect: () => {
            const owner = currentOwner();
            return owner === undefined ? undefined : connectToOwner(owner);
        },
        trainMs: 100,
        steps: faults.steps,
        rereadChance: () => faults.rereadChance,
        loseAnswerChance: () => faults.loseAnswerChance,
    });
    void trainer.run();
    return trainer;
}

/** Starts a new owner whenever none is running, as the entries do once the lease has expired. */
function ensureOwner(
    world: TestWorld,
    onStart: (count: number) => Promise<Started>,
): () => Owner | undefined {
    let current: Started | undefined;
    let starts = 0;
    let isStarting = false;
    async function ensure(): Promise<void> {
        if (isStarting || current?.process.isAlive() === true) {
            return;
        }
        isStarting = true;
        current = undefined;
        const started = onStart(starts++);
        // An owner that is killed during its start never settles.
        current = await Promise.race([started, world.clock.sleep(3_000).then(() => undefined)]);
        isStarting = false;
    }
    function tick(): void {
        void ensure().catch(() => {
            isStarting = false;
        });
        world.clock.startTimer(200, tick);
    }
    tick();
    return () => current?.process.isAlive() === true ? current.owner : undefined;
}

test("a takeover with stored groups generates nothing again, and usage is neither lost nor counted twice", async () => {
    const world = createTestWorld();
    const first = await settle(world, world.startOwner());
    await settle(world, first.owner.openStep(spec));
    await world.clock.advance(2_000);
    const page = await read(world, first.owner);
    const delivered = page.groups.flatMap(group => group.samples).reduce(
        (sum, sample) => sum + sample.engineMs,
        0,
    );
    first.process.kill();
    const second = await settle(world, world.startOwner());
    expect(second.owner.status().steps[0]).toMatchObject({ groups: 3, ready: 3, delivered: 0, waiting: 0 });
    const done = await read(world, second.owner, page.cursor);
    expect(done.done).toBe(true);
    expect(startedSamples(world)).toBe(6);
    expect(second.owner.status().deliveredEngineMs).toBe(delivered);
    const third = await settle(world, world.startOwner());
    expect(third.owner.status().deliveredEngineMs).toBe(delivered);
});

test("a takeover without stored groups generates again only what the trainer does not have", async () => {
    const world = createTestWorld();
    const change = (
        deps: Parameters<NonNullable<Parameters<TestWorld["startOwner"]>[0]>["change"] & object>[0],
    ) => ({
        ...deps,
        groupStore: undefined,
    });
    const first = await settle(world, world.startOwner({ change }));
    await settle(world, first.owner.openStep(spec));
    const page = await read(world, first.owner);
    await read(world, first.owner, page.cursor, 0);
    await world.clock.advance(6_000);
    first.process.kill();
    const before = startedSamples(world);
    const second = await settle(world, world.startOwner({ change }));
    expect(second.owner.status().steps[0]?.delivered).toBe(page.groups.length);
    await world.clock.advance(2_000);
    expect(startedSamples(world) - before).toBe((3 - page.groups.length) * 2);
    const rest = await read(world, second.owner, page.cursor);
    const groups = [...page.groups, ...rest.groups].map(group => group.group);
    expect(groups.sort()).toEqual([0, 1, 2]);
});

test("stored groups that are truncated, of a newer owner, of another step or too stale are ignored", async () => {
    const world = createTestWorld();
    const first = await settle(world, world.startOwner());
    await settle(world, first.owner.openStep(spec));
    await world.clock.advance(2_000);
    first.process.kill();
    const records = await world.groupStore.load(world.job.job, 0);
    const [sample] = records as [typeof records[number]];
    const common = { job: world.job.job, step: 0, fencing: sample.fencing };
    const bodyOf = (group: number): string => records.find(record => record.group === group)!.body;
    await world.groupStore.save({ ...common, group: 0, body: bodyOf(0).slice(0, -3) });
    await world.groupStore.save({ ...common, group: 1, fencing: 1_000, body: bodyOf(1) });
    await world.groupStore.save({ ...common, group: 2, body: bodyOf(2).replaceAll("humo/0/", "humo/1/") });
    const second = await settle(world, world.startOwner());
    expect(second.owner.status().steps[0]).toMatchObject({ ready: 0 });
    await world.clock.advance(2_000);
    expect(startedSamples(world)).toBe(12);
    second.process.kill();
    const third = await settle(world, world.startOwner());
    await settle(world, third.owner.publishWeights(weights(5)));
    third.process.kill();
    const fourth = await settle(world, world.startOwner());
    expect(fourth.owner.status().steps[0]).toMatchObject({ ready: 0 });
});

// Guards against idle training while only the object API is down and samplers and trainer are healthy.
test("during a long store outage open steps are generated and delivered, and new intent is refused", async () => {
    const world = createTestWorld();
    const { owner, setHeld } = await settle(world, world.startOwner());
    await settle(world, owner.openStep(spec));
    world.control.setOutage(true);
    expect(await codeOfRejection(world, owner.openStep({ ...spec, step: 1 as StepNumber }))).toBe(
        "intentRefused",
    );
    expect(await codeOfRejection(world, owner.publishWeights(weights(1)))).toBe("intentRefused");
    setHeld(false);
    await world.clock.advance(600_000);
    const page = await read(world, owner);
    expect(page.groups.length).toBeGreaterThan(0);
    let last = page;
    while (!last.done) {
        last = await read(world, owner, last.cursor);
    }
    expect(await codeOfRejection(world, owner.openStep({ ...spec, step: 1 as StepNumber }))).toBe(
        "intentRefused",
    );
    world.control.setOutage(false);
    setHeld(true);
    await world.clock.advance(40_000);
    expect(await codeOfRejection(world, owner.openStep({ ...spec, step: 1 as StepNumber }))).toBe("resolved");
    expect(world.control.keys().some(key => key.startsWith("jobs/humo/steps/0"))).toBe(false);
    expect(world.violations()).toEqual([]);
});

// Guards against two owners that act for one job at the same time.
test("an owner that resumes after a takeover stops before it has any effect", async () => {
    const world = createTestWorld();
    const first = await settle(world, world.startOwner());
    await settle(world, first.owner.openStep(spec));
    first.process.pause();
    first.setHeld(false);
    const held = first.owner.readGroups(step, undefined, 5_000);
    await world.clock.advance(20_000);
    const second = await settle(world, world.startOwner());
    await world.clock.advance(2_000);
    const before = startedSamples(world);
    first.process.resume();
    expect(await codeOfRejection(world, held)).toBe("fenced");
    await world.clock.advance(5_000);
    expect(startedSamples(world)).toBe(before);
    expect(world.sidecars.map(sidecar => sidecar.fenced())).toEqual([0, 0]);
    expect(await codeOfRejection(world, first.owner.readGroups(step, undefined, 0))).toBe("fenced");
    const page = await read(world, second.owner);
    expect(page.groups.length).toBe(3);
});

// The old owner is also disconnected from the object API, so it can't see there that it was replaced.
test("an owner without access to the store continues until it receives a newer fencing number", async () => {
    const world = createTestWorld();
    let isDisconnected = false;
    const first = await settle(
        world,
        world.startOwner({
            change: deps => ({
                ...deps,
                store: {
                    ...deps.store,
                    read: key => isDisconnected ? Promise.reject(new Error("cut")) : deps.store.read(key),
                },
            }),
        }),
    );
    await settle(world, first.owner.openStep(spec));
    await world.clock.advance(1_000);
    isDisconnected = true;
    first.setHeld(false);
    await world.clock.advance(2_000);
    const old = await read(world, first.owner);
    expect(old.groups.length).toBe(3);
    const second = await settle(world, world.startOwner());
    const next = await read(world, second.owner, undefined);
    expect(next.fencing).toBeGreaterThan(old.fencing);
    expect(await codeOfRejection(world, first.owner.readGroups(step, next.cursor, 0))).toBe("fenced");
    expect(await codeOfRejection(world, first.owner.readGroups(step, undefined, 0))).toBe("fenced");
});

test("the store refuses weights of an old owner after a takeover", async () => {
    const world = createTestWorld();
    const first = await settle(world, world.startOwner());
    await settle(world, first.owner.publishWeights(weights(1)));
    first.process.pause();
    const late = first.owner.publishWeights(weights(2));
    const second = await settle(world, world.startOwner());
    first.process.resume();
    expect(await codeOfRejection(world, late)).toBe("fenced");
    expect(second.owner.status().publishedVersion).toBe(1);
    expect(world.control.peek("jobs/humo/weights")).toMatchObject({ published: { version: 1 } });
});

test("a new owner finds all steps and weights despite a lagging store replica", async () => {
    const world = createTestWorld();
    const first = await settle(world, world.startOwner());
    await settle(world, first.owner.publishWeights(weights(4)));
    await settle(world, first.owner.openStep(spec));
    first.process.kill();
    world.control.setStaleReads(4);
    const starting = world.startOwner();
    await world.clock.advance(500);
    world.control.setStaleReads(0);
    const second = await settle(world, starting);
    expect(second.owner.status()).toMatchObject({ publishedVersion: 4, steps: [{ step: 0 }] });
});

async function runWithKill(
    killAt: number,
    phase: "before" | "after",
): Promise<{ isKilled: boolean; problems: unknown[]; }> {
    const world = createTestWorld();
    let calls = 0;
    let isKilled = false;
    const currentOwner = ensureOwner(world, count =>
        world.startOwner({
            onCall: (callPhase, _name, process) => {
                const isDue = count === 0 && callPhase === phase && calls++ === killAt;
                if (isDue) {
                    isKilled = true;
                    process.kill();
                }
            },
        }));
    const trainer = startTrainer(world, currentOwner);
    const isFinished = await world.clock.runUntil(trainer.isFinished, 300_000);
    const usage = currentOwner()?.status().deliveredEngineMs;
    const problems = [
        ...trainer.report.problems,
        ...world.violations(),
        ...isFinished && trainer.report.receivedGroups.size === 4
            ? []
            : [`unfinished ${trainer.report.receivedGroups.size}`],
        ...usage === trainer.report.engineMs ? [] : [`usage ${usage} of ${trainer.report.engineMs}`],
    ];
    return { isKilled, problems };
}

test.each(["before", "after"] as const)(
    "an owner killed %s any of its calls loses nothing and delivers nothing twice",
    async phase => {
        let killAt = 0;
        for (; killAt < 2_000; killAt++) {
            const { isKilled, problems } = await runWithKill(killAt, phase);
            expect({ killAt, problems }).toEqual({ killAt, problems: [] });
            if (!isKilled) {
                break;
            }
        }
        expect(killAt).toBeGreaterThan(20);
    },
);

test.each([3, 4, 5, 6, 7, 8])(
    "delivery is exactly once with lost answers on both sides and repeated owner kills, seed %i",
    async seed => {
        const world = createTestWorld({ seed });
        const random = createRandom(seed);
        let current: Started | undefined;
        let kills = 0;
        const route = ensureOwner(world, async () => {
            current = await world.startOwner();
            return current;
        });
        const trainer = startTrainer(world, route, { steps: 10, rereadChance: 0.3, loseAnswerChance: 0.3 });
        function injectFaults(): void {
            world.control.loseAnswers(random.nextInt(3));
            if (random.nextUnit() < 0.6) {
                kills += current?.process.isAlive() === true ? 1 : 0;
                current?.process.kill();
            }
            world.clock.startTimer(700, injectFaults);
        }
        injectFaults();
        expect(await world.clock.runUntil(trainer.isFinished, 600_000)).toBe(true);
        expect(trainer.report.problems).toEqual([]);
        expect(world.violations()).toEqual([]);
        expect(trainer.report.receivedGroups.size).toBe(20);
        expect(kills).toBeGreaterThan(3);
    },
);
