import type { Random } from "@auburnarch/types/Random";
import type { LinkMode } from "./LinkMode.js";
import type { SoakFault } from "./SoakFault.js";
import type { TimedFault } from "./TimedFault.js";

interface FaultDrawOptions {
    processes: number;
    samplers: number;
    /** Period in which faults begin. */
    lengthMs: number;
    faults: number;
}

const linkModes: LinkMode[] = ["slow", "reset", "deaf", "silent", "oldSilent"];
const storeModes = ["busy", "reset", "loseAnswers"] as const;
const disks = ["kept", "kept", "torn", "wiped"] as const;
/** Range of outages, from short ones to ones long enough for leases and peer lists to expire. */
const minDurationMs = 200;
const maxDurationMs = 3_500;
/** One fault in this many is repeated soon afterwards, so that faults of the same kind follow each other. */
const repeatOneIn = 4;
const repeatAfterMs = 900;

/** Draws the faults of one run; they may overlap. */
export function drawFaults(random: Random, options: FaultDrawOptions): TimedFault[] {
    const pick = <T>(values: readonly T[]): T => values[random.nextInt(values.length)]!;
    const drawDurationMs = (): number => minDurationMs + random.nextInt(maxDurationMs - minDurationMs);
    const process = (): number => random.nextInt(options.processes);
    const sampler = (): number => random.nextInt(options.samplers);
    const faultDraws: (() => SoakFault)[] = [
        () => ({ kind: "storeMode", mode: pick(storeModes), forMs: drawDurationMs() }),
        () => ({ kind: "storeHistory" }),
        () => ({ kind: "storeLink", process: process(), mode: pick(linkModes), forMs: drawDurationMs() }),
        () => ({ kind: "storeLink", process: process(), mode: pick(linkModes), forMs: drawDurationMs() }),
        () => ({ kind: "samplerLink", sampler: sampler(), mode: pick(linkModes), forMs: drawDurationMs() }),
        () => ({ kind: "kill", process: process(), downMs: drawDurationMs() / 2, disk: pick(disks) }),
        () => ({ kind: "killAll", downMs: drawDurationMs() / 3 }),
        () => ({ kind: "pause", process: process(), forMs: drawDurationMs() }),
        () => ({ kind: "terminate", process: process(), downMs: drawDurationMs() / 4 }),
        () => ({ kind: "reload", process: process() }),
        () => ({ kind: "replaceSampler", sampler: sampler(), isAnnounced: random.nextInt(3) > 0 }),
        () => ({ kind: "breakStreams", sampler: sampler() }),
        () => ({ kind: "changeConfiguration" }),
    ];
    const drawn: TimedFault[] = [];
    while (drawn.length < options.faults) {
        const atMs = random.nextInt(options.lengthMs);
        const fault = pick(faultDraws)();
        drawn.push({ atMs, fault });
        if (random.nextInt(repeatOneIn) === 0) {
            drawn.push({ atMs: atMs + repeatAfterMs, fault });
        }
    }
    return drawn.sort((a, b) => a.atMs - b.atMs);
}
