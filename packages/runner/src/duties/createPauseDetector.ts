import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { PauseDetector } from "./PauseDetector.js";

/** The steady clock stops while a VM is suspended, the time of day does not; small steps of the latter are usual. */
const maxClockDriftMs = 700;
/** A gap between two ticks of the event loop that no work of ours takes. */
const maxTickGapMs = 900;
const tickMs = 200;

/**
 * Notices that the process stood still or its VM was suspended. A lease judged by the steady clock alone looks held
 * after a suspension while another holder acts already. After a gap nothing is done for `restMs`, in which the lease
 * is renewed or found lost.
 */
export function createPauseDetector(clock: Clock, logger: Logger, restMs: number): PauseDetector {
    let lastSteadyMs = clock.monotonicMs();
    let lastWallMs = clock.wallMs();
    let restUntilMs = -Infinity;

    function check(): void {
        const steadyMs = clock.monotonicMs();
        const wallMs = clock.wallMs();
        const steadyGapMs = steadyMs - lastSteadyMs;
        const driftMs = wallMs - lastWallMs - steadyGapMs;
        if (driftMs > maxClockDriftMs || steadyGapMs > maxTickGapMs) {
            restUntilMs = steadyMs + restMs;
            logger.warn("stoodStill", {
                steadyGapMs: Math.round(steadyGapMs),
                clocksPartMs: Math.round(driftMs),
                restMs,
            });
        }
        lastSteadyMs = steadyMs;
        lastWallMs = wallMs;
    }

    function tick(): void {
        check();
        clock.startTimer(tickMs, tick);
    }

    clock.startTimer(tickMs, tick);
    return {
        areClocksTrusted: () => {
            check();
            return clock.monotonicMs() >= restUntilMs;
        },
    };
}
