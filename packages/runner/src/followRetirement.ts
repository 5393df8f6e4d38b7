import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { RetirementRequest } from "./RetirementRequest.js";

interface FollowRetirementDeps {
    /** Name of the own VM. */
    self: string;
    requests: WatchedKind<RetirementRequest>;
    /** Tells the operator how far it is. */
    report: (state: "running" | "completed") => Promise<void>;
    /** Hands over all that is run here; resolves once nothing is. */
    handOver: () => Promise<void>;
    clock: Clock;
    logger: Logger;
}

const retryMs = 300;

/**
 * Empties the own VM once the operator asks for it. The VM is removed at once with its disk when it is reported as
 * completed, so that is said only after the last result made here is recorded.
 */
export function followRetirement(deps: FollowRetirementDeps): { stop(): void; } {
    const { clock, logger } = deps;
    const stopped = new AbortController();
    let isStarted = false;

    async function reportUntilAccepted(state: "running" | "completed"): Promise<void> {
        while (!stopped.signal.aborted) {
            try {
                await deps.report(state);
                logger.info("retirementReported", { vm: deps.self, state });
                return;
            }
            catch (error) {
                logger.warn("retirementNotReported", { vm: deps.self, state, name: codeOf(error).name });
                await clock.sleep(retryMs, stopped.signal);
            }
        }
    }

    async function retire(request: RetirementRequest): Promise<void> {
        logger.info("retirementAsked", { vm: deps.self, durationMs: request.durationMs });
        await reportUntilAccepted("running");
        await deps.handOver();
        await reportUntilAccepted("completed");
    }

    function startIfRequested(): void {
        const request = deps.requests.objects()?.get(deps.self);
        if (request !== undefined && !isStarted) {
            isStarted = true;
            void retire(request);
        }
    }

    startIfRequested();
    const unsubscribe = deps.requests.onChange(startIfRequested);
    return {
        stop: () => {
            stopped.abort();
            unsubscribe();
        },
    };
}
