import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { JobId } from "@auburnarch/types/JobId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Sample } from "@auburnarch/types/Sample";
import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { expect, test } from "vitest";
import { createFakeTrainer } from "./createFakeTrainer.js";
import type { TrainerPort } from "./TrainerPort.js";

const sampleOf = (step: number, group: number, index: number, version: number): Sample => ({
    sample: `${step}/${group}/${index}` as SampleId,
    group,
    index,
    spans: [{ version: version as WeightVersion, tokens: 1, text: "x" }],
    tokens: 1,
    score: 0,
    sampler: "s" as SamplerId,
    engineMs: 1,
});

const groupOf = (step: number, group: number, version: number, size = 2): SampleGroup => ({
    group,
    samples: Array.from({ length: size }, (_, index) => sampleOf(step, group, index, version)),
});

/** Runs a trainer against an owner that delivers all groups of `groupsOf` on one page, marked as `done`. */
function runTrainer(
    groupsOf: (step: number, published: number) => SampleGroup[],
    fencingOf: (read: number) => number = () => 1,
) {
    const clock = createFakeClock();
    let published = 0;
    let reads = 0;
    const port: TrainerPort = {
        openStep: async () => {},
        publishWeights: async weights => {
            published = weights.version;
        },
        readGroups: async (step, cursor) => {
            const fencing = fencingOf(reads++) as FencingNumber;
            const groups = cursor === undefined ? groupsOf(step, published) : [];
            await clock.sleep(100);
            const page: GroupsPage = { job: "j" as JobId, step, fencing, groups, cursor: "c", done: true };
            return page;
        },
    };
    const prompts = [{ prompt: "a", maxTokens: 5 }, { prompt: "b", maxTokens: 5 }];
    const trainer = createFakeTrainer({
        clock,
        random: createRandom(1),
        port,
        policy: "plume" as PolicyId,
        steps: 3,
        groupSize: 2,
        maxStalenessVersions: 1,
        specOf: step => ({ step: step as StepNumber, prompts, needAtMs: undefined }),
        rereadChance: 0.5,
    });
    let ended = false;
    void trainer.run(new AbortController().signal).then(() => (ended = true));
    return clock.runUntil(() => ended, 60_000).then(() => trainer.report());
}

test("a correct owner yields a report without errors", async () => {
    const report = await runTrainer((
        step,
        published,
    ) => [groupOf(step, 0, published), groupOf(step, 1, published)]);
    expect(report).toMatchSnapshot();
});

test("a trainer counts duplicates, missing samples, broken groups, stale samples and mismatched rereads", async () => {
    let made = 0;
    const report = await runTrainer((step, published) => {
        made++;
        const first = groupOf(step, 0, step === 2 ? published - 2 : published);
        const second = step === 1 ? groupOf(step, 1, published, 1) : groupOf(step, 0, published - made % 2);
        return [first, second];
    });
    expect(report).toMatchObject({ brokenGroups: 1, staleViolations: 2, stalenessMaxVersions: 2 });
    expect(report.duplicates).toBeGreaterThan(0);
    expect(report.missing).toBe(4);
    expect(report.rereadMismatches).toBeGreaterThan(0);
});

test("a page with a lower fencing number is dropped", async () => {
    const groups = (
        step: number,
        published: number,
    ) => [groupOf(step, 0, published), groupOf(step, 1, published)];
    const report = await runTrainer(groups, read => read === 2 ? 0 : 1);
    expect(report).toMatchObject({ fencedPages: 1, delivered: 12, missing: 0 });
});
