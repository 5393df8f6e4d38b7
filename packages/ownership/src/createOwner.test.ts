import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { StepSpec } from "@auburnarch/types/StepSpec";
import { expect, test } from "vitest";
import type { Owner } from "./Owner.js";
import { createTestWorld } from "./testing/createTestWorld.js";
import type { TestWorld } from "./testing/TestWorld.js";

const step = 0 as StepNumber;
const spec = (groups = 3): StepSpec => ({
    step,
    prompts: Array.from({ length: groups }, (_, group) => ({ prompt: `prompt ${group}`, maxTokens: 8 })),
    needAtMs: undefined,
});
const weights = (version: number): PublishedWeights =>
    ({ policy: "plume", version, location: `plume/${version}` }) as unknown as PublishedWeights;

/** Advances the world's clock until the call has settled. */
async function settle<T>(world: TestWorld, call: Promise<T>): Promise<T> {
    let isOver = false;
    const ended = call.finally(() => {
        isOver = true;
    });
    ended.catch(() => undefined);
    await world.clock.runUntil(() => isOver, 120_000);
    return await ended;
}

async function codeOfRejection(world: TestWorld, call: Promise<unknown>): Promise<string> {
    return await settle(world, call).then(
        () => "resolved",
        (error: { code: { name: string; }; }) => error.code.name,
    );
}

/** Reads until `done` and returns all pages. */
async function readAll(world: TestWorld, owner: Owner, start?: string): Promise<GroupsPage[]> {
    const pages: GroupsPage[] = [];
    let cursor = start;
    for (;;) {
        const page = await settle(world, owner.readGroups(step, cursor, 5_000));
        pages.push(page);
        cursor = page.cursor;
        if (page.done) {
            return pages;
        }
    }
}

const groupsIn = (pages: GroupsPage[]): number[] =>
    pages.flatMap(page => page.groups.map(group => group.group));

test("each group of an opened step is generated, delivered once and counted as usage", async () => {
    const world = createTestWorld();
    const { owner } = await settle(world, world.startOwner());
    await settle(world, owner.publishWeights(weights(1)));
    await settle(world, owner.openStep(spec()));
    const pages = await readAll(world, owner);
    expect(groupsIn(pages).sort()).toEqual([0, 1, 2]);
    const samples = pages.flatMap(page => page.groups.flatMap(group => group.samples));
    expect(samples.map(sample => sample.sample).sort()).toMatchInlineSnapshot(`
      [
        "humo/0/0/0",
        "humo/0/0/1",
        "humo/0/1/0",
        "humo/0/1/1",
        "humo/0/2/0",
        "humo/0/2/1",
      ]
    `);
    expect(owner.status()).toMatchInlineSnapshot(`
      {
        "deliveredEngineMs": 280,
        "deliveredSamples": 6,
        "deliveredTokens": 28,
        "discardedEngineMs": 0,
        "fencing": 1,
        "job": "humo",
        "publishedVersion": 1,
        "steps": [],
      }
    `);
    expect(owner.status().deliveredEngineMs).toBe(samples.reduce((sum, sample) => sum + sample.engineMs, 0));
    await world.clock.advance(10_000);
    expect(world.control.keys()).toMatchInlineSnapshot(`
      [
        "jobs/humo/checkpoint",
        "jobs/humo/weights",
        "leases/job/humo",
      ]
    `);
    expect(world.violations()).toEqual([]);
});

test("the same cursor gets identical bytes, also after newer cursors were read", async () => {
    const world = createTestWorld();
    const { owner } = await settle(world, world.startOwner());
    await settle(world, owner.openStep(spec()));
    const first = await settle(world, owner.readGroups(step, undefined, 5_000));
    await world.clock.advance(2_000);
    const again = await settle(world, owner.readGroups(step, undefined, 5_000));
    expect(JSON.stringify(again)).toBe(JSON.stringify(first));
    const second = await settle(world, owner.readGroups(step, first.cursor, 5_000));
    expect(JSON.stringify(await settle(world, owner.readGroups(step, undefined, 0)))).toBe(
        JSON.stringify(first),
    );
    expect(groupsIn([first, second]).sort()).toEqual([0, 1, 2]);
});

test("opening a step again has no effect and other prompts are a conflict, also after completion", async () => {
    const world = createTestWorld();
    const { owner } = await settle(world, world.startOwner());
    await settle(world, owner.openStep(spec()));
    expect(await codeOfRejection(world, owner.openStep(spec()))).toBe("resolved");
    expect(await codeOfRejection(world, owner.openStep(spec(2)))).toBe("stepConflict");
    const pages = await readAll(world, owner);
    expect(await codeOfRejection(world, owner.openStep(spec()))).toBe("resolved");
    expect(await codeOfRejection(world, owner.openStep(spec(2)))).toBe("stepConflict");
    expect(await codeOfRejection(world, owner.readGroups(step, undefined, 0))).toBe("unknownStep");
    expect((await settle(world, owner.readGroups(step, pages.at(-1)?.cursor, 0))).done).toBe(true);
    expect(world.sidecars.reduce((sum, sidecar) => sum + sidecar.started(), 0)).toBe(6);
});

test("a step of several megabytes is stored in chunks and survives its owner; a prompt beyond the chunk size is refused", async () => {
    const world = createTestWorld({ job: { groupSize: 1 } });
    const first = await settle(world, world.startOwner());
    const prompt = "p".repeat(90_000);
    const large = { ...spec(30), prompts: Array.from({ length: 30 }, () => ({ prompt, maxTokens: 2 })) };
    await settle(world, first.owner.openStep(large));
    first.process.kill();
    const second = await settle(world, world.startOwner());
    expect(groupsIn(await readAll(world, second.owner)).length).toBe(30);
    const whole = { ...large, prompts: [{ prompt: "p".repeat(700_000), maxTokens: 2 }] };
    expect(await codeOfRejection(world, second.owner.openStep({ ...whole, step: 1 as StepNumber }))).toBe(
        "bodyTooLarge",
    );
});

test("a lower version is refused; publishing the current version again has no effect", async () => {
    const world = createTestWorld();
    const { owner } = await settle(world, world.startOwner());
    await settle(world, owner.publishWeights(weights(3)));
    expect(await codeOfRejection(world, owner.publishWeights(weights(3)))).toBe("resolved");
    expect(await codeOfRejection(world, owner.publishWeights(weights(2)))).toBe("versionNotHigher");
    expect(
        await codeOfRejection(world, owner.publishWeights({ ...weights(3), location: "elsewhere" })),
    ).toBe("versionNotHigher");
    expect(owner.status().publishedVersion).toBe(3);
});

test("a sample that fails verification is generated again", async () => {
    const world = createTestWorld({ samplers: 1 });
    world.sidecars[0]!.returnEmptyAnswers(2);
    const { owner } = await settle(world, world.startOwner());
    await settle(world, owner.openStep(spec()));
    expect(groupsIn(await readAll(world, owner)).sort()).toEqual([0, 1, 2]);
    expect(world.lines.filter(line => line.includes("sampleRejected")).length).toBe(2);
    expect(world.violations()).toEqual([]);
});

// Guards against delivering samples of weights that have been replaced since the page was first sent.
test("groups that exceed the staleness bound after they were sent but not acknowledged are generated again", async () => {
    const world = createTestWorld();
    const { owner } = await settle(world, world.startOwner());
    await settle(world, owner.publishWeights(weights(1)));
    await settle(world, owner.openStep(spec()));
    const lost = await settle(world, owner.readGroups(step, undefined, 5_000));
    expect(lost.groups.length).toBeGreaterThan(0);
    await world.clock.advance(1_000);
    await settle(world, owner.publishWeights(weights(2)));
    await settle(world, owner.publishWeights(weights(3)));
    const pages = await readAll(world, owner);
    const versions = pages.flatMap(page =>
        page.groups.flatMap(group => group.samples.flatMap(sample => sample.spans.map(span => span.version)))
    );
    expect(Math.min(...versions)).toBeGreaterThanOrEqual(2);
    expect(groupsIn(pages).sort()).toEqual([0, 1, 2]);
    expect(world.violations()).toEqual([]);
});

test("groups that the trainer's cursor covers are not generated again when they exceed the staleness bound", async () => {
    const world = createTestWorld();
    const { owner } = await settle(world, world.startOwner());
    await settle(world, owner.openStep(spec()));
    await world.clock.advance(1_000);
    const page = await settle(world, owner.readGroups(step, undefined, 5_000));
    expect(page.groups.length).toBe(3);
    await settle(world, owner.publishWeights(weights(5)));
    await world.clock.advance(5_000);
    expect((await settle(world, owner.readGroups(step, page.cursor, 0))).done).toBe(true);
    expect(world.sidecars.reduce((sum, sidecar) => sum + sidecar.started(), 0)).toBe(6);
});

test("forged cursors are refused, and reading continues with the genuine one", async () => {
    const world = createTestWorld();
    const { owner } = await settle(world, world.startOwner());
    await settle(world, owner.openStep(spec()));
    const page = await settle(world, owner.readGroups(step, undefined, 5_000));
    const flipped = `${page.cursor.slice(0, -60)}${page.cursor.at(-60) === "A" ? "B" : "A"}${
        page.cursor.slice(-59)
    }`;
    for (const cursor of ["", "x", flipped, `${page.cursor}=`, `${page.cursor} `, "A".repeat(100_000)]) {
        expect(await codeOfRejection(world, owner.readGroups(step, cursor, 0))).toBe("cursorInvalid");
    }
    expect(await codeOfRejection(world, owner.readGroups(1 as StepNumber, page.cursor, 0))).toBe(
        "cursorInvalid",
    );
    expect((await readAll(world, owner, page.cursor)).at(-1)?.done).toBe(true);
});
