import type { Clock } from "@auburnarch/types/Clock";
import type { FaultInterval } from "./FaultInterval.js";
import { injectFault } from "./injectFault.js";
import type { SoakFault } from "./SoakFault.js";
import type { SoakTestBed } from "./SoakTestBed.js";
import type { TimedFault } from "./TimedFault.js";

interface FaultInjector {
    /** Injects faults at their times, and ends whatever they left once all are over. */
    injectAll(faults: readonly TimedFault[]): Promise<void>;
    /** Intervals in which faults were active. */
    intervals(): readonly FaultInterval[];
}

function endAllFaults(bed: SoakTestBed): void {
    bed.store.setMode("well");
    [...bed.storeLinks.values()].flat().forEach(link => link.setMode("well"));
    bed.slots.forEach(slot => slot.link.setMode("well"));
    for (const program of bed.programs) {
        program.signal("SIGCONT");
        if (!program.isUp()) {
            program.start();
        }
    }
}

/** Creates the fault injector of one run. */
export function createFaultInjector(bed: SoakTestBed, clock: Clock): FaultInjector {
    const intervals: FaultInterval[] = [];

    async function injectRecorded(fault: SoakFault): Promise<void> {
        const interval: FaultInterval = {
            kind: fault.kind,
            process: "process" in fault ? fault.process : undefined,
            fromMs: clock.monotonicMs(),
            untilMs: Infinity,
        };
        intervals.push(interval);
        await injectFault(bed, clock, fault);
        interval.untilMs = clock.monotonicMs();
    }

    return {
        injectAll: async faults => {
            const startedAtMs = clock.monotonicMs();
            const injected: Promise<void>[] = [];
            for (const { atMs, fault } of faults) {
                await clock.sleep(Math.max(0, startedAtMs + atMs - clock.monotonicMs()));
                injected.push(injectRecorded(fault));
            }
            await Promise.all(injected);
            endAllFaults(bed);
        },
        intervals: () => intervals,
    };
}
