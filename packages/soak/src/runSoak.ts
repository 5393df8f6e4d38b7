import { createRandom } from "@auburnarch/clock/createRandom";
import { clientCalls } from "@auburnarch/platform/testing/clientCalls";
import { createFakeClient } from "@auburnarch/platform/testing/createFakeClient";
import type { Clock } from "@auburnarch/types/Clock";
import { checkCrashInducing } from "./checkCrashInducing.js";
import { checkDepartedSamplers } from "./checkDepartedSamplers.js";
import { checkFinalState } from "./checkFinalState.js";
import { checkSettings } from "./checkSettings.js";
import { checkTeams } from "./checkTeams.js";
import { crashInducingContent } from "./crashInducingContent.js";
import { createCrashInducingCaller } from "./createCrashInducingCaller.js";
import { createFaultInjector } from "./createFaultInjector.js";
import { createPromiseChecker } from "./createPromiseChecker.js";
import { createSoakCaller } from "./createSoakCaller.js";
import { createSoakTestBed } from "./createSoakTestBed.js";
import { createSoakTrainer } from "./createSoakTrainer.js";
import { drawDepartures } from "./drawDepartures.js";
import { drawFate } from "./drawFate.js";
import { drawFaults } from "./drawFaults.js";
import { drawFleetSettings } from "./drawFleetSettings.js";
import { drawSettingsChanges } from "./drawSettingsChanges.js";
import type { Program } from "./Program.js";
import { settingsLimitMs } from "./settingsLimitMs.js";
import type { SoakReport } from "./SoakReport.js";

interface SoakOptions {
    seed: number;
    /** Period in which faults begin. */
    lengthMs: number;
    faults: number;
    gateways: number;
    runners: number;
    /** Time for which traffic continues after the faults; none by default. */
    calmMs?: number;
    /** Whether a sampler of each service leaves permanently during the faults; false by default. */
    hasDepartures?: boolean;
    /** Whether settings files change during the faults; false by default. */
    hasSettingsChanges?: boolean;
    /** Whether a client sends a request that crashes samplers; false by default. */
    hasCrashInducing?: boolean;
    /** Whether programs make store calls through a runner while their own get no answer; false by default. */
    relaysStoreCalls?: boolean;
    /** Whether the seed may turn on copies of texts, priority for late trainers and admission; false by default. */
    drawsFleetSettings?: boolean;
}

const models = ["plume", "ridge"];
const modelSamplers = 4;
const plainSamplers = 3;
const ok = 200;
const stepLimitMs = 9_000;
/** Time after the last fault for processes to start, leases to expire and jobs to be taken over. */
const recoveryLimitMs = 20_000;
const pollMs = 200;
/** One series of changes of a settings file is drawn for this many other faults. */
const faultsPerSettingsChange = 3;
/** Time for which programs are observed after their settings must be in use; an idle gateway probes every 2 s. */
const settingsObservationMs = 2_500;

/** Waits until `condition` is true; resolves with false once `limitMs` has passed. */
async function waitUntil(clock: Clock, limitMs: number, condition: () => Promise<boolean>): Promise<boolean> {
    const untilMs = clock.monotonicMs() + limitMs;
    while (!await condition()) {
        if (clock.monotonicMs() > untilMs) {
            return false;
        }
        await clock.sleep(pollMs);
    }
    return true;
}

/** Runs the programs under the faults of one seed, with trainers and a caller that check the promises to clients. */
export async function runSoak(clock: Clock, options: SoakOptions): Promise<SoakReport> {
    const random = createRandom(options.seed);
    const { gateways, runners, lengthMs, calmMs = 0 } = options;
    const fates = createRandom(options.seed);
    const fleetSettings = drawFleetSettings(options);
    const bed = await createSoakTestBed(clock, {
        gateways,
        runners,
        modelSamplers,
        plainSamplers,
        models,
        fateOf: content => content === crashInducingContent ? drawFate(fates) : "answered",
        extraSettings: role => fleetSettings[role],
    });
    const checker = createPromiseChecker(clock);
    const probes = createFakeClient();
    const shared = { bed, clock, checker };
    const trainers = models.map(model => createSoakTrainer({ ...shared, random: random.fork(), model }));
    const caller = createSoakCaller({ ...shared, random: random.fork(), name: "caller" });
    const processes = gateways + runners;
    const samplers = modelSamplers + plainSamplers;
    const drawn = drawFaults(random.fork(), { processes, samplers, lengthMs, faults: options.faults });
    const departures = options.hasDepartures === true
        ? drawDepartures(random.fork(), modelSamplers, lengthMs)
        : [];
    const settingsChanges = options.hasSettingsChanges === true
        ? drawSettingsChanges(random.fork(), {
            processes,
            lengthMs,
            series: Math.ceil(options.faults / faultsPerSettingsChange),
        })
        : [];
    const crashInducing = options.hasCrashInducing === true
        ? createCrashInducingCaller({ bed, clock, random: random.fork() })
        : undefined;
    const faults = [...drawn, ...departures, ...settingsChanges].sort((a, b) => a.atMs - b.atMs);
    const injector = createFaultInjector(bed, clock);

    const isReady = async (gateway: Program): Promise<boolean> => {
        const reply = await probes.call(gateway.readyPort, { ...clientCalls.isReady(), limitMs: 1_000 });
        return reply.kind === "answered" && reply.status === ok;
    };
    const allReady = async (): Promise<boolean> =>
        (await Promise.all(bed.gateways.map(isReady))).every(Boolean);

    async function train(signal: AbortSignal): Promise<void> {
        await Promise.all(trainers.map(async trainer => {
            while (!signal.aborted) {
                await trainer.runStep(stepLimitMs);
            }
        }));
    }

    async function checkRecovery(): Promise<void> {
        checker.check(await waitUntil(clock, recoveryLimitMs, allReady), "gateways are ready again", {});
        for (const gateway of bed.gateways) {
            const isSeen = await waitUntil(clock, recoveryLimitMs, () => caller.servesNewestRoute(gateway));
            checker.check(isSeen, "the newest configuration is in force", { gateway: gateway.name });
        }
        for (const trainer of trainers) {
            const last = await trainer.runStep(recoveryLimitMs);
            const isComplete = last.positions.size === last.items.length;
            checker.check(isComplete, "steps are made again", { ...last, positions: last.positions.size });
            for (const step of trainer.steps().filter(each => each.isAccepted)) {
                for (const gateway of bed.gateways) {
                    const isRead = await waitUntil(
                        clock,
                        recoveryLimitMs,
                        () => trainer.readAgain(step, gateway),
                    );
                    checker.check(isRead, "an accepted job can be read", {
                        lot: step.lot,
                        gateway: gateway.name,
                    });
                }
            }
        }
    }

    async function checkAllSettings(): Promise<void> {
        const haveStarted = async (): Promise<boolean> => bed.programs.every(program => program.hasStarted());
        checker.check(await waitUntil(clock, recoveryLimitMs, haveStarted), "programs start again", {});
        await clock.sleep(settingsLimitMs + settingsObservationMs);
        for (const program of bed.programs) {
            checkSettings(program, bed.storeLinks.get(program.name)!, checker, clock.monotonicMs());
        }
    }

    try {
        checker.check(await waitUntil(clock, recoveryLimitMs, allReady), "gateways start", {});
        const stopped = new AbortController();
        const traffic = [
            caller.run(stopped.signal),
            train(stopped.signal),
            crashInducing?.run(stopped.signal),
        ];
        await injector.injectAll(faults);
        await clock.sleep(calmMs);
        stopped.abort();
        await Promise.all(traffic);
        await Promise.all([
            checkRecovery(),
            options.hasSettingsChanges === true ? checkAllSettings() : undefined,
        ]);
        const steps = trainers.flatMap(trainer => trainer.steps());
        checkFinalState(bed, checker, steps, caller.calls());
        checkTeams(bed, checker, new Set(steps.flatMap(step => step.items)));
        checkDepartedSamplers(bed, checker, injector.intervals());
        if (crashInducing !== undefined) {
            checkCrashInducing(bed, checker, {
                sends: crashInducing.sends(),
                harmlessStatuses: crashInducing.harmlessStatuses(),
                faultIntervals: injector.intervals(),
            });
        }
        return {
            seed: options.seed,
            settings: Object.assign({}, ...Object.values(fleetSettings)),
            faults,
            breaches: checker.breaches(),
            steps: steps.length,
            wholeSteps: steps.filter(step => step.positions.size === step.items.length).length,
            plainCalls: caller.calls().length,
            servedPlainCalls: caller.calls().filter(call => call.status === ok).length,
            logs: new Map(bed.programs.map(program => [program.name, program.lines()])),
        };
    }
    finally {
        trainers.forEach(trainer => trainer.close());
        caller.close();
        crashInducing?.close();
        probes.close();
        await bed.close();
    }
}
