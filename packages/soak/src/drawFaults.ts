import type { Random } from "@auburnarch/types/Random";
import type { LinkMode } from "./LinkMode.js";
import type { SoakFault } from "./SoakFault.js";
import type { TimedFault } from "./TimedFault.js";

interface Scene {
    processes: number;
    samplers: number;
    /** Faults strike within this time. */
    lengthMs: number;
    faults: number;
}

const linkModes: LinkMode[] = ["slow", "reset", "deaf", "silent", "oldSilent"];
const storeModes = ["busy", "reset", "loseAnswers"] as const;
const disks = ["kept", "kept", "torn", "wiped"] as const;
/** Outages long enough for leases and lists of peers to lapse, and short ones. */
const shortestMs = 200;
const longestMs = 3_500;
/** One fault in this many comes again soon after, so that faults of a kind follow on each other. */
const repeatOneIn = 4;
const repeatAfterMs = 900;

/** Draws the faults of one run; they overlap as they fall. */
export function drawFaults(random: Random, scene: Scene): TimedFault[] {
    const one = <T>(values: readonly T[]): T => values[random.nextInt(values.length)]!;
    const spanMs = (): number => shortestMs + random.nextInt(longestMs - shortestMs);
    const process = (): number => random.nextInt(scene.processes);
    const sampler = (): number => random.nextInt(scene.samplers);
    const draws: (() => SoakFault)[] = [
        () => ({ kind: "storeMode", mode: one(storeModes), forMs: spanMs() }),
        () => ({ kind: "storeHistory" }),
        () => ({ kind: "storeLink", process: process(), mode: one(linkModes), forMs: spanMs() }),
        () => ({ kind: "storeLink", process: process(), mode: one(linkModes), forMs: spanMs() }),
        () => ({ kind: "samplerLink", sampler: sampler(), mode: one(linkModes), forMs: spanMs() }),
        () => ({ kind: "kill", process: process(), downMs: spanMs() / 2, disk: one(disks) }),
        () => ({ kind: "killAll", downMs: spanMs() / 3 }),
        () => ({ kind: "pause", process: process(), forMs: spanMs() }),
        () => ({ kind: "terminate", process: process(), downMs: spanMs() / 4 }),
        () => ({ kind: "reload", process: process() }),
        () => ({ kind: "replaceSampler", sampler: sampler(), isAnnounced: random.nextInt(3) > 0 }),
        () => ({ kind: "breakStreams", sampler: sampler() }),
        () => ({ kind: "changeConfiguration" }),
    ];
    const drawn: TimedFault[] = [];
    while (drawn.length < scene.faults) {
        const atMs = random.nextInt(scene.lengthMs);
        const fault = one(draws)();
        drawn.push({ atMs, fault });
        if (random.nextInt(repeatOneIn) === 0) {
            drawn.push({ atMs: atMs + repeatAfterMs, fault });
        }
    }
    return drawn.sort((a, b) => a.atMs - b.atMs);
}
