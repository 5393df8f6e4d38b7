import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { Random } from "@auburnarch/types/Random";
import { checkRun } from "./checks/checkRun.js";
import { createManifest } from "./createManifest.js";
import { createRunParts } from "./createRunParts.js";
import { createSimulation } from "./createSimulation.js";
import type { FaultGuards } from "./FaultGuards.js";
import type { FaultKind } from "./FaultKind.js";
import { faultKinds } from "./faultKinds.js";
import type { FaultRun } from "./FaultRun.js";
import { injectFault } from "./injectFault.js";
import type { RunParts } from "./RunParts.js";
import { watchRun } from "./watchRun.js";

const manifestKey = "config/manifest";
const warmUpMs = 2_500;
const faultsFromMs = 2_600;
const faultsUntilMs = 8_000;
const slowFaultsUntilMs = 4_500;
const healAtMs = 10_500;
const endLimitMs = 120_000;
const faultsPerRun = 10;
const repeatChance = 0.4;
const repeatWithinMs = 1_500;
const settleMs = 3_000;

/**
 * Relative frequencies, 1 by default. Kinds that often find no target are drawn more often. The long pause of
 * `senderFreeze` takes most of a run's time.
 */
const weights: Partial<Record<FaultKind, number>> = {
    twoOwners: 3,
    ownerPause: 2,
    senderFreeze: 1.5,
    poisonRequest: 1.5,
};

/** Kinds that need several seconds to take effect. */
const slowKinds: readonly FaultKind[] = ["twoOwners", "ownerPause", "senderFreeze"];

function drawKind(kinds: readonly FaultKind[], random: Random): FaultKind {
    const weightOf = (kind: FaultKind): number => weights[kind] ?? 1;
    let left = random.nextUnit() * kinds.reduce((sum, kind) => sum + weightOf(kind), 0);
    return kinds.find(kind => (left -= weightOf(kind)) < 0) ?? kinds[0]!;
}

/** Draws the run's faults and schedules them, many of them twice in quick succession. */
function schedule(parts: RunParts, only: readonly FaultKind[] | undefined): void {
    const { clock, random } = parts.simulation;
    const kinds = only ?? faultKinds;
    for (let drawn = 0; drawn < faultsPerRun; drawn++) {
        const kind = drawKind(kinds, random);
        const untilMs = slowKinds.includes(kind) ? slowFaultsUntilMs : faultsUntilMs;
        const atMs = faultsFromMs + random.nextUnit() * (untilMs - faultsFromMs);
        clock.startTimer(atMs - clock.monotonicMs(), () => injectFault(parts, kind));
        if (random.nextUnit() < repeatChance) {
            const againMs = atMs + random.nextUnit() * repeatWithinMs;
            clock.startTimer(againMs - clock.monotonicMs(), () => injectFault(parts, kind));
        }
    }
}

/** Ends all lasting faults, after which the system must settle. */
function heal(parts: RunParts): void {
    const { simulation, entries, models, plains } = parts;
    simulation.network.healAll();
    simulation.storeFaults.setOutage(false);
    simulation.storeFaults.setSlow(0);
    simulation.storeControl.setStaleReads(0);
    entries.forEach(entry => entry.start());
    [...models.map(model => model.node), ...plains.map(plain => plain.node)].forEach(node =>
        node.startSidecar()
    );
}

interface RunOptions {
    /** Ends the run at the first violation. */
    stopAtFirst?: boolean;
    /** Number of distinct crash-inducing requests; one by default. */
    killers?: number;
    /** Kinds of fault to inject; all by default. */
    only?: readonly FaultKind[];
    /** Creates the logger of all processes; logs are discarded by default. */
    createLogger?: (clock: Clock) => Logger;
    /** Called for each fault that took effect. */
    onFault?: (kind: FaultKind, atMs: number) => void;
}

/** Executes one randomised run of the real entries, sidecars and owners. The same seed gives the same run. */
export async function runWithFaults(
    seed: number,
    guards: FaultGuards,
    options: RunOptions = {},
): Promise<FaultRun> {
    const simulation = createSimulation(seed, guards, options.createLogger);
    const { clock, violations } = simulation;
    const strikes = Object.fromEntries(faultKinds.map(kind => [kind, 0])) as FaultRun["strikes"];
    let isHealed = false;
    let frozenUntilMs = 0;
    let crashPromptsSent = 0;
    let earliestHealAtMs = 0;
    void simulation.store.write(manifestKey, createManifest(0), 0 as ObjectVersion);
    const parts: RunParts = {
        ...createRunParts(simulation, () => isHealed),
        crashRequestDigests: new Set(),
        nextCrashPrompt: () => {
            const number = crashPromptsSent++ % (options.killers ?? 1);
            return number === 0 ? "poison" : `poison ${number}`;
        },
        countFault: kind => {
            strikes[kind]++;
            options.onFault?.(kind, clock.monotonicMs());
        },
        recordFrozen: durationMs => {
            frozenUntilMs = clock.monotonicMs() + durationMs;
        },
        delayHealing: durationMs => {
            earliestHealAtMs = Math.max(earliestHealAtMs, clock.monotonicMs() + durationMs);
        },
        isFrozen: () => clock.monotonicMs() < frozenUntilMs,
    };
    const watch = watchRun(parts);
    const stopsNow = (): boolean => options.stopAtFirst === true && violations.count() > 0;

    await clock.runUntil(stopsNow, warmUpMs);
    void parts.trainer.trainer.run();
    void parts.caller.run();
    schedule(parts, options.only);
    await clock.runUntil(stopsNow, healAtMs - clock.monotonicMs());
    await clock.runUntil(stopsNow, Math.max(0, earliestHealAtMs - clock.monotonicMs()));
    heal(parts);
    isHealed = true;
    const isOver = (): boolean => parts.trainer.trainer.isFinished() && parts.caller.isFinished();
    await clock.runUntil(() => stopsNow() || isOver(), endLimitMs);
    await clock.runUntil(stopsNow, settleMs);
    if (!stopsNow()) {
        await checkRun(parts, isOver());
    }
    if (!stopsNow() && frozenUntilMs > clock.monotonicMs()) {
        // The rest of a long pause concerns only the paused process and the plain samplers.
        const runningEntries = parts.entries.filter(entry => entry.running()?.process.isPaused() === false);
        runningEntries.forEach(entry => entry.kill());
        parts.models.forEach(model => model.node.killSidecar());
        parts.plains.forEach(plain => plain.node.sidecarProcess()?.stopReporting());
        await clock.runUntil(stopsNow, frozenUntilMs + settleMs - clock.monotonicMs());
    }
    parts.caller.checkAtEnd();
    simulation.observer.checkAtEnd();
    watch.stop();
    return {
        seed,
        strikes,
        violations: violations.list(),
        simulatedMs: clock.monotonicMs(),
        stepsDone: parts.trainer.trainer.report.stepsDone,
        groupsTaken: parts.trainer.trainer.report.receivedGroups.size,
        requests: parts.caller.count(),
        owners: watch.owners(),
    };
}
