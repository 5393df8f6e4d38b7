import { createFakeTrainer } from "@auburnarch/fakes/createFakeTrainer";
import type { TrainerReport } from "@auburnarch/fakes/TrainerReport";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { OperatorStatus } from "@auburnarch/types/OperatorStatus";
import { readFile, writeFile } from "node:fs/promises";
import { Agent } from "node:http";
import { callEntry } from "./callEntry.js";
import { createTrainerClient } from "./createTrainerClient.js";
import type { DemoSummary } from "./DemoSummary.js";
import type { ProcessContext } from "./ProcessContext.js";
import { sendAlerts } from "./sendAlerts.js";
import type { Standalone } from "./Standalone.js";

const steps = 3;
const trainMs = 2_000;
const maxTokens = 256;
const timeLimitMs = 32_000;
const pollMs = 200;
const callTimeoutMs = 5_000;
const changedShare = 0.5;

interface DemoOptions {
    system: Standalone;
    context: ProcessContext;
    jobs: JobManifest[];
    /** Bearer token by team. */
    tokens: Map<string, string>;
    manifestPath: string;
    /** Prints a line of progress for the user. */
    printLine: (line: string) => void;
}

function sum(reports: TrainerReport[], pick: (report: TrainerReport) => number): number {
    return reports.reduce((total, report) => total + pick(report), 0);
}

/** Runs three steps of each job, sends alerts at the same time, and changes the manifest in the middle. */
export async function runDemo(options: DemoOptions): Promise<DemoSummary> {
    const { system, context, jobs, tokens, printLine } = options;
    const { clock } = context;
    const agent = new Agent({ keepAlive: true });
    const addresses = system.entries.map(entry => entry.address);
    const ended = new AbortController();
    const alerts: string[] = [];

    async function readStatus(): Promise<OperatorStatus> {
        const call = { agent, address: addresses[0]!, method: "GET", path: "/operator/status" };
        return await callEntry({
            ...call,
            token: system.operatorToken,
            timeoutMs: callTimeoutMs,
        }) as OperatorStatus;
    }

    /** Resolves with the version once it is active on every entry and sidecar. */
    async function waitUntilActive(minVersion: number): Promise<number> {
        const expected = system.entries.length + system.sidecars.length;
        for (;;) {
            const status = await readStatus().catch(() => undefined);
            const version = status?.configVersion ?? 0;
            const activeCount = status?.members.filter(each => each.configVersion === version).length ?? 0;
            if (version >= minVersion && activeCount >= expected) {
                return version;
            }
            await clock.sleep(pollMs);
        }
    }

    async function changeManifest(before: number): Promise<number> {
        const manifest = JSON.parse(await readFile(options.manifestPath, "utf8")) as {
            teams: { share: number; }[];
        };
        manifest.teams.forEach(team => {
            team.share = changedShare;
        });
        const changedAtMs = clock.monotonicMs();
        await writeFile(options.manifestPath, JSON.stringify(manifest, undefined, 4));
        const version = await waitUntilActive(before + 1);
        printLine(
            `manifest changed: version ${version} in force everywhere after ${
                Math.round(clock.monotonicMs() - changedAtMs)
            } ms`,
        );
        return version;
    }

    function train(job: JobManifest): Promise<TrainerReport> {
        const token = tokens.get(job.team)!;
        const trainer = createFakeTrainer({
            clock,
            random: context.random.fork(),
            port: createTrainerClient({ agent, addresses, job: job.job, token }),
            policy: job.policy,
            steps,
            groupSize: job.groupSize,
            maxStalenessVersions: job.maxStalenessVersions,
            specOf: step => ({
                step,
                prompts: Array.from({ length: job.samplesPerStep / job.groupSize }, (_, index) => ({
                    prompt: `${job.job} step ${step} prompt ${index}`,
                    maxTokens,
                })),
                needAtMs: undefined,
            }),
            trainMs,
            onStep: step =>
                printLine(`${job.job}: step ${step} whole, ${trainer.report().delivered} samples so far`),
        });
        return trainer.run(ended.signal);
    }

    clock.startTimer(timeLimitMs, () => ended.abort());
    const firstVersion = await waitUntilActive(1);
    printLine(
        `${system.entries.length} entries and ${system.sidecars.length} sidecars ready, manifest version ${firstVersion}`,
    );
    const alerting = sendAlerts({
        clock,
        agent,
        addresses,
        token: tokens.get(jobs[0]!.team)!,
        onSent: key => alerts.push(key),
        printLine,
        signal: ended.signal,
    });
    const changing = clock.sleep(steps * trainMs / 2).then(() => changeManifest(firstVersion));
    const reports = await Promise.all(jobs.map(train));
    const configVersion = await changing;
    ended.abort();
    await alerting;
    agent.destroy();

    const runs = [...system.externalFakes.backends.values()].flatMap(control => [...control.runsByKey()]);
    const runsOf = (key: string): number =>
        runs.filter(([ran]) => ran === key).reduce((total, [, n]) => total + n, 0);
    const idleMs = sum(reports, each => each.idleMs);
    return {
        steps: sum(reports, each => each.stepsDone),
        delivered: sum(reports, each => each.delivered),
        missing: sum(reports, each => each.missing)
            + (steps * jobs.length - sum(reports, each => each.stepsDone)),
        duplicates: sum(reports, each => each.duplicates),
        staleViolations: sum(reports, each => each.staleViolations),
        stalenessMaxVersions: Math.max(...reports.map(each => each.stalenessMaxVersions)),
        trainerIdleRatio: Number((idleMs / (idleMs + sum(reports, each => each.trainedMs))).toFixed(3)),
        configVersion,
        alerts: alerts.length,
        alertsRunTwice: alerts.filter(key => runsOf(key) !== 1).length,
    };
}
