import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { PauseDetector } from "./PauseDetector.js";

/**
 * The monotonic clock stops while a VM is suspended, the wall clock does not. Small adjustments of the wall clock are
 * normal.
 */
const maxClockDriftMs = 700;
/** A longer gap between two ticks of the event loop is not caused by the work of this process. */
const maxTickGapMs = 900;
const tickMs = 200;

/**
 * Detects that the process was paused or its VM suspended. By the monotonic clock alone, a lease seems valid after a
 * suspension although another holder already acts. The clocks count as untrusted for `restMs` after a pause; within
 * this time the lease is renewed, or its loss is detected.
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
