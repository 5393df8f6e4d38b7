import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { RetirementRequest } from "./RetirementRequest.js";

interface FollowRetirementDeps {
    /** Name of this VM. */
    self: string;
    requests: WatchedKind<RetirementRequest>;
    /** Reports progress to the operator. */
    report: (state: "running" | "completed") => Promise<void>;
    /** Hands over all work of this runner; resolves once none is left. */
    handOver: () => Promise<void>;
    clock: Clock;
    logger: Logger;
}

const retryMs = 300;

/**
 * Vacates this VM once the operator requests it. The VM and its disk are removed as soon as it is reported as
 * completed, so that report is sent only after the last result generated here is recorded.
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
