import { createRandom } from "@auburnarch/clock/createRandom";
import { clientCalls } from "@auburnarch/platform/testing/clientCalls";
import { createClientStandIn } from "@auburnarch/platform/testing/createClientStandIn";
import type { Clock } from "@auburnarch/types/Clock";
import { checkEnd } from "./checkEnd.js";
import { checkLeft } from "./checkLeft.js";
import { checkTeams } from "./checkTeams.js";
import { createSoakBed } from "./createSoakBed.js";
import { createWitness } from "./createWitness.js";
import { drawFaults } from "./drawFaults.js";
import { drawLeaves } from "./drawLeaves.js";
import type { Program } from "./Program.js";
import { runCaller } from "./runCaller.js";
import { runTrainer } from "./runTrainer.js";
import type { SoakBed } from "./SoakBed.js";
import type { SoakFault } from "./SoakFault.js";
import type { SoakReport } from "./SoakReport.js";
import { strikeFault } from "./strikeFault.js";
import type { Trouble } from "./Trouble.js";

interface SoakOptions {
    seed: number;
    /** Time in which faults strike. */
    lengthMs: number;
    faults: number;
    gateways: number;
    runners: number;
    /** Traffic goes on for so long after the faults; none by default. */
    calmMs?: number;
    /** Whether a sampler of each service leaves for good while faults strike; by default not. */
    hasLeaves?: boolean;
}

const models = ["plume", "ridge"];
const modelSamplers = 4;
const plainSamplers = 3;
const ok = 200;
const stepLimitMs = 9_000;
/** After the last fault: processes start, leases lapse, jobs are taken over. */
const healLimitMs = 20_000;
const pollMs = 200;

/** Waits until `holds`; false once the time is up. */
async function waitUntil(clock: Clock, limitMs: number, holds: () => Promise<boolean>): Promise<boolean> {
    const untilMs = clock.monotonicMs() + limitMs;
    while (!await holds()) {
        if (clock.monotonicMs() > untilMs) {
            return false;
        }
        await clock.sleep(pollMs);
    }
    return true;
}

function healAll(bed: SoakBed): void {
    bed.store.setMode("well");
    bed.storeLinks.forEach(link => link.setMode("well"));
    bed.places.forEach(place => place.link.setMode("well"));
    for (const program of bed.programs) {
        program.signal("SIGCONT");
        if (!program.isUp()) {
            program.start();
        }
    }
}

/** Runs the programs under the faults of one seed, with trainers and callers that check what they are promised. */
export async function runSoak(clock: Clock, options: SoakOptions): Promise<SoakReport> {
    const random = createRandom(options.seed);
    const { gateways, runners, lengthMs, calmMs = 0 } = options;
    const bed = await createSoakBed(clock, { gateways, runners, modelSamplers, plainSamplers, models });
    const witness = createWitness(clock);
    const probes = createClientStandIn();
    const shared = { bed, clock, witness };
    const trainers = models.map(model => runTrainer({ ...shared, random: random.fork(), model }));
    const caller = runCaller({ ...shared, random: random.fork(), name: "caller" });
    const processes = gateways + runners;
    const samplers = modelSamplers + plainSamplers;
    const drawn = drawFaults(random.fork(), { processes, samplers, lengthMs, faults: options.faults });
    const leaves = options.hasLeaves === true ? drawLeaves(random.fork(), modelSamplers, lengthMs) : [];
    const faults = [...drawn, ...leaves].sort((a, b) => a.atMs - b.atMs);
    const troubles: Trouble[] = [];

    const isReady = async (gateway: Program): Promise<boolean> => {
        const reply = await probes.call(gateway.readyPort, { ...clientCalls.isReady(), limitMs: 1_000 });
        return reply.kind === "answered" && reply.status === ok;
    };
    const allReady = async (): Promise<boolean> =>
        (await Promise.all(bed.gateways.map(isReady))).every(Boolean);

    async function strikeNoted(fault: SoakFault): Promise<void> {
        const trouble: Trouble = { kind: fault.kind, fromMs: clock.monotonicMs(), untilMs: Infinity };
        troubles.push(trouble);
        await strikeFault(bed, clock, fault);
        trouble.untilMs = clock.monotonicMs();
    }

    async function strikeAll(): Promise<void> {
        const startedAtMs = clock.monotonicMs();
        const struck: Promise<void>[] = [];
        for (const { atMs, fault } of faults) {
            await clock.sleep(Math.max(0, startedAtMs + atMs - clock.monotonicMs()));
            struck.push(strikeNoted(fault));
        }
        await Promise.all(struck);
        healAll(bed);
        await clock.sleep(calmMs);
    }

    async function train(signal: AbortSignal): Promise<void> {
        await Promise.all(trainers.map(async trainer => {
            while (!signal.aborted) {
                await trainer.runStep(stepLimitMs);
            }
        }));
    }

    async function checkHealed(): Promise<void> {
        witness.check(await waitUntil(clock, healLimitMs, allReady), "gateways are ready again", {});
        for (const gateway of bed.gateways) {
            const isSeen = await waitUntil(clock, healLimitMs, () => caller.seesNewest(gateway));
            witness.check(isSeen, "the newest configuration is in force", { gateway: gateway.name });
        }
        for (const trainer of trainers) {
            const last = await trainer.runStep(healLimitMs);
            const isWhole = last.positions.size === last.items.length;
            witness.check(isWhole, "steps are made again", { ...last, positions: last.positions.size });
            for (const step of trainer.steps().filter(each => each.isAccepted)) {
                for (const gateway of bed.gateways) {
                    const isRead = await waitUntil(
                        clock,
                        healLimitMs,
                        () => trainer.readAgain(step, gateway),
                    );
                    witness.check(isRead, "an accepted job can be read", {
                        lot: step.lot,
                        gateway: gateway.name,
                    });
                }
            }
        }
    }

    try {
        witness.check(await waitUntil(clock, healLimitMs, allReady), "gateways start", {});
        const stopped = new AbortController();
        const traffic = [caller.run(stopped.signal), train(stopped.signal)];
        await strikeAll();
        stopped.abort();
        await Promise.all(traffic);
        await checkHealed();
        const steps = trainers.flatMap(trainer => trainer.steps());
        checkEnd(bed, witness, steps, caller.calls());
        checkTeams(bed, witness, new Set(steps.flatMap(step => step.items)));
        checkLeft(bed, witness, troubles);
        return {
            seed: options.seed,
            faults,
            breaches: witness.breaches(),
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
        probes.close();
        await bed.close();
    }
}
