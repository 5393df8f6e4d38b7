import type { Random } from "@auburnarch/types/Random";
import type { TimedFault } from "./TimedFault.js";

interface SettingsChangeDrawOptions {
    processes: number;
    /** Period in which series of changes begin. */
    lengthMs: number;
    series: number;
}

const maxChanges = 4;
/** Changes follow each other while the program reads the file, or after it has read it. */
const shortPauseMs = 30;
const longPauseMs = 2_000;
const maxRestartAfterMs = 1_500;
const maxDownMs = 1_500;

/** Draws series of changes of processes' settings files; every other series runs over a restart of its process. */
export function drawSettingsChanges(random: Random, options: SettingsChangeDrawOptions): TimedFault[] {
    const flip = (): boolean => random.nextInt(2) === 0;
    return Array.from({ length: options.series }, (_, index): TimedFault[] => {
        const atMs = random.nextInt(options.lengthMs);
        const process = random.nextInt(options.processes);
        const changes = Array.from({ length: 1 + random.nextInt(maxChanges) }, () => ({
            afterMs: random.nextInt(flip() ? shortPauseMs : longPauseMs),
            isReplaced: flip(),
            isSignalled: flip(),
        }));
        const series: TimedFault = { atMs, fault: { kind: "changeSettings", process, changes } };
        if (index % 2 === 0) {
            return [series];
        }
        const downMs = random.nextInt(maxDownMs);
        return [series, {
            atMs: atMs + random.nextInt(maxRestartAfterMs),
            fault: flip()
                ? { kind: "terminate", process, downMs }
                : { kind: "kill", process, downMs, disk: "kept" },
        }];
    }).flat();
}
