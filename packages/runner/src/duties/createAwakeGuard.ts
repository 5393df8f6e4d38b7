import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { AwakeGuard } from "./AwakeGuard.js";

/** The steady clock stops while a VM is suspended, the time of day does not; small steps of the latter are usual. */
const clocksPartMs = 700;
/** A gap between two ticks of the event loop that no work of ours takes. */
const stoppedMs = 900;
const tickMs = 200;

/**
 * Notices that the process stood still or its VM was suspended. A lease judged by the steady clock alone looks held
 * after a suspension while another holder acts already. After a gap nothing is done for `restMs`, in which the lease
 * is renewed or found lost.
 */
export function createAwakeGuard(clock: Clock, logger: Logger, restMs: number): AwakeGuard {
    let lastSteadyMs = clock.monotonicMs();
    let lastWallMs = clock.wallMs();
    let restUntilMs = -Infinity;

    function look(): void {
        const steadyMs = clock.monotonicMs();
        const wallMs = clock.wallMs();
        const steadyGapMs = steadyMs - lastSteadyMs;
        const partMs = wallMs - lastWallMs - steadyGapMs;
        if (partMs > clocksPartMs || steadyGapMs > stoppedMs) {
            restUntilMs = steadyMs + restMs;
            logger.warn("stoodStill", {
                steadyGapMs: Math.round(steadyGapMs),
                clocksPartMs: Math.round(partMs),
                restMs,
            });
        }
        lastSteadyMs = steadyMs;
        lastWallMs = wallMs;
    }

    function tick(): void {
        look();
        clock.startTimer(tickMs, tick);
    }

    clock.startTimer(tickMs, tick);
    return {
        isAwake: () => {
            look();
            return clock.monotonicMs() >= restUntilMs;
        },
    };
}
