import { createRandom } from "@auburnarch/clock/createRandom";
import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { validateManifest } from "@auburnarch/config/validateManifest";
import { codeOf } from "@auburnarch/errors/codeOf";
import { createFakeTrainer } from "@auburnarch/fakes/createFakeTrainer";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { OperatorJobs } from "@auburnarch/types/OperatorJobs";
import { Agent } from "node:http";
import { v7 as newKey } from "uuid";
import { afterEach, beforeEach, expect, test } from "vitest";
import { callEntry } from "./callEntry.js";
import { createTrainerClient } from "./createTrainerClient.js";
import { digestToken } from "./digestToken.js";
import { createProcessTestBed } from "./testing/createProcessTestBed.js";

const token = "team token";
const steps = 4;
const context = { clock: createSystemClock(), random: createRandom(11), writeLine: () => undefined };

function makeManifest(): Manifest {
    const checked = validateManifest({
        name: "processes",
        teams: [{ team: "plume", share: 1, tokenDigests: [digestToken(token)] }],
        services: [{ service: "rollouts", kind: "rollout" }, {
            service: "tiles",
            kind: "plain",
            repeatable: ["GET /tiles"],
        }],
        samplers: [
            { sampler: "rollout-1", service: "rollouts", failureDomain: "Lugo" },
            { sampler: "rollout-2", service: "rollouts", failureDomain: "Lugo" },
            { sampler: "tile-1", service: "tiles", failureDomain: "Lugo" },
        ],
        jobs: [{
            job: "forecast",
            team: "plume",
            service: "rollouts",
            policy: "plume",
            scoring: "air",
            groupSize: 4,
            samplesPerStep: 16,
            maxStalenessVersions: 2,
            stepNeedMs: 20_000,
        }],
    });
    if (checked.kind === "invalid") {
        throw new Error(JSON.stringify(checked.faults));
    }
    return checked.manifest;
}

let agent: Agent;
let bed: Awaited<ReturnType<typeof createProcessTestBed>>;
let manifest: Manifest;

beforeEach(async () => {
    agent = new Agent({ keepAlive: true });
    manifest = makeManifest();
    bed = await createProcessTestBed(manifest, context);
});

afterEach(async () => {
    agent.destroy();
    await bed.close();
});

const trainerOf = (job: JobManifest, addresses: string[], onStep: (step: number) => void) =>
    createFakeTrainer({
        clock: context.clock,
        random: context.random.fork(),
        port: createTrainerClient({ agent, addresses, job: job.job, token }),
        policy: job.policy,
        steps,
        groupSize: job.groupSize,
        maxStalenessVersions: job.maxStalenessVersions,
        specOf: step => ({
            step,
            prompts: Array.from(
                { length: 4 },
                (_, index) => ({ prompt: `step ${step} ${index}`, maxTokens: 100 }),
            ),
            needAtMs: undefined,
        }),
        trainMs: 200,
        onStep,
    });

async function findOwner(address: string): Promise<string | undefined> {
    const call = {
        agent,
        address,
        method: "GET",
        path: "/operator/jobs",
        token: bed.operatorToken,
        timeoutMs: 5_000,
    };
    const answer = await callEntry(call).catch(() => undefined) as OperatorJobs | undefined;
    return answer?.jobs[0]?.owner;
}

async function waitFor<T>(read: () => Promise<T | undefined>): Promise<T> {
    for (;;) {
        const found = await read();
        if (found !== undefined) {
            return found;
        }
        await context.clock.sleep(100);
    }
}

test("a step completes without loss or duplicates when the owner's process is killed", async () => {
    // Guards against a trainer that stalls or receives groups twice.
    const entries = [await bed.startEntry("entry-1"), await bed.startEntry("entry-2")];
    await Promise.all(manifest.samplers.map(bed.startSidecar));
    const addresses = entries.map(each => each.address);
    const owner = await waitFor(() => findOwner(addresses[0]!));
    const killed = entries.find(each => each.name === owner)!;
    const trainer = trainerOf(manifest.jobs[0]!, addresses, step => {
        if (step === 1) {
            killed.child.kill("SIGKILL");
        }
    });
    const report = await trainer.run(new AbortController().signal);
    expect(await killed.ended).toBe("SIGKILL");
    expect(report).toMatchObject({
        stepsDone: steps,
        delivered: steps * 16,
        missing: 0,
        duplicates: 0,
        brokenGroups: 0,
        staleViolations: 0,
    });
    const survivor = entries.find(each => each !== killed)!;
    expect(await findOwner(survivor.address)).toBe(survivor.name);
});

test("non-idempotent requests run at most once when a sidecar's process is killed", async () => {
    // Guards against duplicate alerts.
    const entries = [await bed.startEntry("entry-1"), await bed.startEntry("entry-2")];
    const sidecars = await Promise.all(manifest.samplers.map(bed.startSidecar));
    const killed = sidecars.find(each => each.name === "sidecar-tile-1")!;
    const outcomes = new Map<string, string>();

    async function send(key: string, address: string): Promise<string> {
        const headers = { "idempotency-key": key };
        const call = {
            agent,
            address,
            method: "POST",
            path: "/v1/services/tiles/alerts",
            token,
            headers,
            timeoutMs: 10_000,
        };
        return callEntry({ ...call, body: { key } }).then(() => "ran", error => codeOf(error).name);
    }

    await waitFor(async () => await send(newKey(), entries[0]!.address) === "ran" ? true : undefined);
    const sending = Array.from({ length: 40 }, async (_, index) => {
        await context.clock.sleep(index * 10);
        const key = newKey();
        for (const entry of [...entries, ...entries]) {
            outcomes.set(key, await send(key, entry.address));
        }
    });
    await context.clock.sleep(150);
    killed.child.kill("SIGKILL");
    await Promise.all(sending);

    const runs = bed.externalFakes.backends.get(manifest.samplers[2]!.sampler)!.runsByKey();
    expect([...runs.values()].filter(count => count > 1)).toEqual([]);
    const falseSuccesses = [...outcomes].filter(([key, name]) => name === "ran" && runs.get(key) !== 1);
    expect(falseSuccesses).toEqual([]);
    expect([...outcomes.values()].filter(name => name === "ran").length).toBeGreaterThan(0);
});

test("SIGTERM in the middle of a step hands the job over without loss", async () => {
    // Guards against samples that are generated again after each planned restart.
    const entries = [await bed.startEntry("entry-1"), await bed.startEntry("entry-2")];
    await Promise.all(manifest.samplers.map(bed.startSidecar));
    const addresses = entries.map(each => each.address);
    const owner = await waitFor(() => findOwner(addresses[0]!));
    const leaving = entries.find(each => each.name === owner)!;
    const trainer = trainerOf(manifest.jobs[0]!, addresses, step => {
        if (step === 1) {
            leaving.child.kill("SIGTERM");
        }
    });
    const report = await trainer.run(new AbortController().signal);
    expect(await leaving.ended).toBe(0);
    expect(report).toMatchObject({
        stepsDone: steps,
        delivered: steps * 16,
        missing: 0,
        duplicates: 0,
        brokenGroups: 0,
    });
});
