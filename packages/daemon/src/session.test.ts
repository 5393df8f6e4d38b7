import { createRandom } from "@auburnarch/clock/createRandom";
import { parseManifest } from "@auburnarch/config/parseManifest";
import type { Entry } from "@auburnarch/entry/Entry";
import { createFakeTrainer } from "@auburnarch/fakes/createFakeTrainer";
import type { TrainerPort } from "@auburnarch/fakes/TrainerPort";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { OperatorUsage } from "@auburnarch/types/OperatorUsage";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import { expect, test } from "vitest";
import { createMemorySystem } from "./testing/createMemorySystem.js";

const text = JSON.stringify({
    name: "session",
    teams: [{ team: "plume", share: 1, tokenDigests: ["0".repeat(64)] }],
    services: [
        { service: "rollouts", kind: "rollout" },
        { service: "tiles", kind: "plain", repeatable: ["GET /tiles"] },
    ],
    samplers: [
        { sampler: "rollout-1", service: "rollouts", failureDomain: "Pamplona" },
        { sampler: "rollout-2", service: "rollouts", failureDomain: "Lugo" },
        { sampler: "tile-1", service: "tiles", failureDomain: "Burgos" },
    ],
    jobs: [{
        job: "forecast",
        team: "plume",
        service: "rollouts",
        policy: "plume",
        scoring: "air",
        groupSize: 2,
        samplesPerStep: 4,
        maxStalenessVersions: 1,
        stepNeedMs: 10_000,
    }],
});

function manifestOf(source: string) {
    const parsed = parseManifest(source);
    if (parsed.kind === "invalid") {
        throw new Error(JSON.stringify(parsed.faults));
    }
    return parsed.manifest;
}

/** Creates a trainer port on an entry that need not be the owner of the job. */
function createTrainerPort(entry: Entry, { job, team }: JobManifest): TrainerPort {
    return {
        openStep: async spec =>
            void await entry.handleTrainerCall(team, { kind: "openStep", job, spec }, false),
        publishWeights: async weights =>
            void await entry.handleTrainerCall(team, { kind: "publishWeights", job, weights }, false),
        readGroups: async (step, cursor, waitMs) =>
            await entry.handleTrainerCall(
                team,
                { kind: "readGroups", job, step, cursor, waitMs },
                false,
            ) as GroupsPage,
    };
}

const request = (method: string, path: string, key?: string) => ({
    team: manifestOf(text).teams[0]!.team,
    service: "tiles" as ServiceId,
    method,
    path,
    headers: {},
    body: new Uint8Array(),
    budgetMs: 1_000,
    idempotencyKey: key,
    idempotent: undefined,
    forwarded: false,
});

async function readTile(entry: Entry): Promise<string> {
    const answer = await entry.call(request("GET", "/tiles/7/61/48"), new AbortController().signal);
    const chunks: Uint8Array[] = [];
    for await (const chunk of answer.body) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
}

test("a session runs end to end: manifest, two steps, an interactive request and usage", async () => {
    const manifest = manifestOf(text);
    const system = createMemorySystem(manifest, () => text);
    const { clock } = system;
    const job = manifest.jobs[0]!;
    await clock.advance(6_000);
    expect(system.entries.map(entry => entry.isReady())).toEqual([true, true]);

    const trainer = createFakeTrainer({
        clock,
        random: createRandom(1),
        port: createTrainerPort(system.entries[1]!, job),
        policy: job.policy,
        steps: 2,
        groupSize: job.groupSize,
        maxStalenessVersions: job.maxStalenessVersions,
        specOf: step => ({
            step,
            prompts: [{ prompt: `step ${step} a`, maxTokens: 40 }, {
                prompt: `step ${step} b`,
                maxTokens: 60,
            }],
            needAtMs: undefined,
        }),
        trainMs: 1_000,
    });
    let done = false;
    void trainer.run(new AbortController().signal).then(() => {
        done = true;
    });
    const tile = readTile(system.entries[0]!);
    expect(await clock.runUntil(() => done, 120_000)).toBe(true);
    expect(await tile).toContain("/tiles/7/61/48");

    const { stalenessMs, ...report } = trainer.report();
    expect(stalenessMs).toHaveLength(report.delivered);
    expect(report).toMatchSnapshot("what the trainer received");
    const pending = system.entries[0]!.operate("GET usage", new URLSearchParams(), undefined) as Promise<
        OperatorUsage
    >;
    let usage: OperatorUsage | undefined;
    void pending.then(found => {
        usage = found;
    });
    await clock.runUntil(() => usage !== undefined, 10_000);
    expect(usage).toMatchSnapshot("usage");
    expect(system.violations).toEqual([]);
    await expect(`${system.lines.join("\n")}\n`).toMatchFileSnapshot("./__snapshots__/session.log");
});
