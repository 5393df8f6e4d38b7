import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import type { BreakRegistry } from "@auburnarch/forwarding/BreakRegistry";
import { createBreakRegistry } from "@auburnarch/forwarding/createBreakRegistry";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import { expect, test } from "vitest";
import { createItemBreaks } from "./createItemBreaks.js";
import type { ItemRun } from "./ItemRun.js";

const runOf = (item: string, body: string): ItemRun =>
    ({
        batchJob: { host: "a.example" },
        item: { item, path: "/plume/x", bodyBase64: Buffer.from(body).toString("base64") },
    }) as ItemRun;

/** Two items of one content, and another one. */
const runs = new Map([
    ["first", runOf("first", "crash")],
    ["again", runOf("again", "crash")],
    ["other", runOf("other", "smoke")],
]);
const create = (breaks: BreakRegistry) => createItemBreaks(breaks, item => runs.get(item));
const [first, again, other] = ["first", "again", "other"] as SampleId[];

test("the breaks of an item count for its content at every runner, until it is completed", () => {
    // Guards against crashes that are forgotten with the runner that saw them.
    const clock = createFakeClock();
    const [here, there] = [createBreakRegistry(clock), createBreakRegistry(clock)];
    ["s1", "s2", "s2", "s3"].forEach(sampler => create(here).recordBreak(first!, sampler as SamplerId));
    there.merge(here.listReports(), "here");
    const pauses = [first, again, other, "gone" as SampleId].map(item => create(there).pauseMs(item!));
    create(there).recordCompletion(again!);
    here.merge(there.listReports(), "there");
    expect([pauses, create(here).pauseMs(first!)]).toEqual([[1_000, 1_000, 0, 0], 0]);
});
