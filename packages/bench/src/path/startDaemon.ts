import type { Settings } from "@auburnarch/config/Settings";
import { startEntry } from "@auburnarch/daemon/startEntry";
import { startSidecar } from "@auburnarch/daemon/startSidecar";
import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";
import { openSync, writeSync } from "node:fs";

/**
 * Starts a process of the system as `auburnarchd run` does, with its log written to the null device. Returns its port.
 */
export async function startDaemon(settings: Settings, clock: Clock, random: Random): Promise<number> {
    const sink = openSync("/dev/null", "w");
    const context = { clock, random, writeLine: (line: string) => void writeSync(sink, `${line}\n`) };
    const running = settings.role === "entry"
        ? await startEntry(settings, context)
        : await startSidecar(settings, context);
    return Number(new URL(running.address).port);
}
