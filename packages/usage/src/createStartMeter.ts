import type { Clock } from "@auburnarch/types/Clock";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { TrueTime } from "@auburnarch/types/TrueTime";
import type { StartCount } from "./StartCount.js";
import type { StartMeter } from "./StartMeter.js";

interface StartMeterDeps {
    /** Unique to the run of the process. */
    source: string;
    windowMs: number;
    trueTime: TrueTime;
    clock: Clock;
}

/**
 * Number of windows in a report: those whose usage may not have been reported yet, and a few more for a process that
 * takes over the reporting.
 */
const retainedWindows = 6;

/** Creates the meter of one process. Its counts only grow, so its reports may be repeated or arrive out of order. */
export function createStartMeter({ source, windowMs, trueTime, clock }: StartMeterDeps): StartMeter {
    const counts = new Map<string, StartCount>();
    const open = new Map<symbol, number>();

    function count(team: TeamId, startedAtMs: number): void {
        const window = Math.floor(trueTime.atMs(startedAtMs) / windowMs);
        const key = `${window} ${team}`;
        const present = counts.get(key) ?? { window, team, requests: 0 };
        counts.set(key, { ...present, requests: present.requests + 1 });
    }

    function dropExpired(nowMs: number): void {
        const oldest = Math.floor(nowMs / windowMs) - retainedWindows;
        [...counts].filter(([, { window }]) => window < oldest).forEach(([key]) => counts.delete(key));
    }

    return {
        open: team => {
            const request = Symbol(team);
            open.set(request, clock.monotonicMs());
            return startedAtMs => {
                if (open.delete(request) && startedAtMs !== undefined) {
                    count(team, startedAtMs);
                }
            };
        },
        report: () => {
            const nowMs = trueTime.nowMs();
            dropExpired(nowMs);
            const oldestOpenMs = Math.min(...open.values());
            const countedUntilMs = Math.min(nowMs, trueTime.atMs(oldestOpenMs));
            return { source, countedUntilMs, counts: [...counts.values()] };
        },
    };
}
