import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { StartCount } from "@auburnarch/usage/StartCount";
import { createReportingProcess } from "./createReportingProcess.js";
import type { ReportCall } from "./ReportCall.js";
import type { ReportingProcess } from "./ReportingProcess.js";

interface SimulationOptions {
    seed: number;
    /** Number of faults, spread over the length of the run. */
    faults: number;
    lengthMs: number;
    /** Each runner acts as if it had the duty. */
    alwaysActs: boolean;
}

interface SimulationResult {
    calls: ReportCall[];
    /** Windows whose reports were due before the end of the run. */
    dueWindows: number[];
}

const windowMs = 500;
const dueMs = 5_000;
const names = ["r1", "r2", "r3"];
const team = "hule" as TeamId;

/**
 * Simulates three runners that report usage with the production lease and duty on a fake clock: they are paused and
 * resumed, stopped and restarted, clocks jump, and the store and the platform lose answers or are unreachable.
 */
export async function simulateUsageReports(
    { seed, faults, lengthMs, alwaysActs }: SimulationOptions,
): Promise<SimulationResult> {
    const random = createRandom(seed);
    const clock = createFakeClock(1_000_000);
    const { store, control } = createFakeObjectStore({ clock, random: random.fork(), latencyMs: 4 });
    const calls: ReportCall[] = [];
    const times = { windowMs, dueMs };
    const startedAtMs = clock.monotonicMs();
    const platform = { isDown: false, losesAnswers: false };
    const upTo = (limit: number): number => Math.floor(random.nextUnit() * limit);
    let counted = 0;

    const start = (name: string): ReportingProcess =>
        createReportingProcess({
            name,
            clock,
            store,
            random: random.fork(),
            times,
            platform,
            alwaysActs,
            calls,
        });

    let processes = names.map(start);

    /** Runners receive different counts at different times, as after lost answers. */
    function reportCounts(): void {
        counted += 1 + upTo(3);
        const window = Math.floor(clock.wallMs() / windowMs);
        for (const { starts, state } of processes) {
            const counts: StartCount[] = [{ window, team, requests: counted }];
            if (!state.isPaused && upTo(3) > 0) {
                starts.merge({ source: "g1", countedUntilMs: clock.wallMs(), counts });
            }
        }
        clock.startTimer(130, reportCounts);
    }

    function pause(process: ReportingProcess, forMs: number): void {
        const { paused, state } = process;
        if (state.isPaused || state.isEnded) {
            return;
        }
        state.isPaused = true;
        paused.pause();
        clock.startTimer(forMs, () => {
            if (!state.isEnded) {
                state.isPaused = false;
                state.resumedAtMs = clock.monotonicMs();
                paused.resume();
            }
        });
    }

    function restart(index: number): void {
        const { name, paused, state } = processes[index]!;
        state.isEnded = true;
        paused.pause();
        processes = processes.map((process, at) => at === index ? start(name) : process);
    }

    function injectFault(): void {
        const index = upTo(processes.length);
        const process = processes[index]!;
        const forMs = 200 + upTo(5_000);
        [
            () => pause(process, forMs),
            () => pause(process, forMs),
            () => restart(index),
            () => control.loseAnswers(1 + upTo(3)),
            () => {
                control.setOutage(true);
                clock.startTimer(forMs, () => control.setOutage(false));
            },
            () => {
                control.setSlow(150);
                clock.startTimer(forMs, () => control.setSlow(0));
            },
            () => {
                platform.isDown = true;
                clock.startTimer(forMs, () => (platform.isDown = false));
            },
            () => {
                platform.losesAnswers = true;
                clock.startTimer(forMs, () => (platform.losesAnswers = false));
            },
            () => {
                process.state.stepMs += (upTo(2) === 0 ? -1 : 1) * upTo(4_000);
            },
        ][upTo(9)]!();
    }

    reportCounts();
    Array.from({ length: faults }, () => clock.startTimer(upTo(lengthMs), injectFault));
    await clock.advance(lengthMs);
    const first = Math.floor(clock.wallMs() - (clock.monotonicMs() - startedAtMs)) / windowMs;
    const last = Math.floor((clock.wallMs() - dueMs) / windowMs) - 1;
    const dueWindows = Array.from({ length: last - first + 1 }, (_, index) => first + index);
    return { calls, dueWindows };
}
