#!/usr/bin/env node
import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { defineCommand, runMain } from "citty";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { runSoak } from "./runSoak.js";
import type { SoakReport } from "./SoakReport.js";

const clock = createSystemClock();

async function writeLogs(folder: string, report: SoakReport): Promise<void> {
    const seedFolder = join(folder, `seed-${report.seed}`);
    await mkdir(seedFolder, { recursive: true });
    for (const [name, lines] of report.logs) {
        await writeFile(join(seedFolder, `${name}.log`), `${lines.join("\n")}\n`);
    }
    const { settings, faults, breaches } = report;
    await writeFile(
        join(seedFolder, "report.json"),
        JSON.stringify({ settings, faults, breaches }, undefined, 2),
    );
}

function printReport(report: SoakReport): void {
    const { seed, steps, wholeSteps, plainCalls, servedPlainCalls, faults, breaches } = report;
    const counts =
        `steps=${wholeSteps}/${steps} plain=${servedPlainCalls}/${plainCalls} faults=${faults.length}`;
    const settings = `settings=${JSON.stringify(report.settings)}`;
    console.log(`seed=${seed} ${counts} ${settings} breaches=${breaches.length}`);
    for (const { atMs, promise, detail } of breaches) {
        console.log(`  ${(atMs / 1_000).toFixed(1)} s: ${promise}: ${detail.slice(0, 600)}`);
    }
}

await runMain(defineCommand({
    meta: { name: "soak", description: "Runs the programs under randomised faults; ends by itself" },
    args: {
        seed: { type: "string", default: "1", description: "First seed" },
        runs: { type: "string", default: "1", description: "Seeds to run, from the first one on" },
        together: { type: "string", default: "2", description: "Runs at the same time" },
        lengthMs: { type: "string", default: "12000", description: "Time in which faults strike" },
        faults: { type: "string", default: "10", description: "Faults of a run, at least" },
        gateways: { type: "string", default: "2", description: "Gateways" },
        runners: { type: "string", default: "3", description: "Runners" },
        calmMs: {
            type: "string",
            default: "6000",
            description: "Time for which traffic goes on after the faults",
        },
        settingsChanges: { type: "boolean", default: true, description: "Change settings files" },
        crashInducing: {
            type: "boolean",
            default: true,
            description: "Send a request that crashes samplers",
        },
        relays: {
            type: "boolean",
            default: false,
            description: "Let programs make store calls through a runner",
        },
        fleetSettings: {
            type: "boolean",
            default: true,
            description: "Tolerate losses and control admission in some runs",
        },
        logs: {
            type: "string",
            default: "soak-logs",
            description: "Folder for the logs of runs with a breach",
        },
    },
    run: async ({ args }) => {
        const endSeed = Number(args.seed) + Number(args.runs);
        let next = Number(args.seed);
        let failedRuns = 0;
        const runSeeds = async (): Promise<void> => {
            while (next < endSeed) {
                const report = await runSoak(clock, {
                    seed: next++,
                    lengthMs: Number(args.lengthMs),
                    faults: Number(args.faults),
                    gateways: Number(args.gateways),
                    runners: Number(args.runners),
                    calmMs: Number(args.calmMs),
                    hasDepartures: true,
                    hasSettingsChanges: args.settingsChanges,
                    hasCrashInducing: args.crashInducing,
                    relaysStoreCalls: args.relays,
                    drawsFleetSettings: args.fleetSettings,
                });
                printReport(report);
                if (report.breaches.length > 0) {
                    failedRuns++;
                    await writeLogs(args.logs, report);
                }
            }
        };
        await Promise.all(Array.from({ length: Number(args.together) }, runSeeds));
        console.log(`${Number(args.runs)} runs, ${failedRuns} with a breach`);
        process.exitCode = failedRuns === 0 ? 0 : 1;
    },
}));
