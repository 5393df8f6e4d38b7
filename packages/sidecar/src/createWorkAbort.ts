import type { Clock } from "@auburnarch/types/Clock";
import type { WorkAbort } from "./WorkAbort.js";

interface WorkAbortDeps {
    clock: Clock;
    callerSignal: AbortSignal;
    /** All work in flight at the sidecar, aborted together by a kill or at the deadline of a shutdown. */
    inFlight: Set<WorkAbort>;
}

/** Creates the signal of one piece of work and registers the work as in flight until it is disposed of. */
export function createWorkAbort(deps: WorkAbortDeps): WorkAbort {
    const controller = new AbortController();
    const abort = (): void => controller.abort();
    let cancelTimer = (): void => {};
    const work: WorkAbort = {
        signal: controller.signal,
        abort,
        expireAfter: (leftMs, onExpired) => {
            cancelTimer = deps.clock.startTimer(leftMs, () => {
                onExpired();
                abort();
            });
        },
        dispose: () => {
            cancelTimer();
            deps.callerSignal.removeEventListener("abort", abort);
            deps.inFlight.delete(work);
        },
    };
    if (deps.callerSignal.aborted) {
        abort();
    }
    deps.callerSignal.addEventListener("abort", abort, { once: true });
    deps.inFlight.add(work);
    return work;
}
