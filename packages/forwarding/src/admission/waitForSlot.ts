import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Clock } from "@auburnarch/types/Clock";
import type { AdmissionDecision } from "./AdmissionDecision.js";
import type { WaitingRequest } from "./WaitingRequest.js";

interface WaitForSlotDeps {
    clock: Clock;
    queue: { push(waiting: WaitingRequest): void; remove(waiting: WaitingRequest): boolean; };
    waiting: WaitingRequest;
    signal: AbortSignal;
    /** Longest time that the request waits. */
    maxWaitMs: number;
    grant: () => AdmissionDecision;
    refuse: (reason: "waited" | "closing") => AdmissionDecision;
}

const callerDisconnected: AdmissionDecision = {
    kind: "refused",
    outcome: { kind: "failed", code: resultCodes.cancelled, detail: "the caller left" },
};

/** Queues a request until it is granted a slot, its longest wait has passed, the gateway closes or its caller leaves. */
export function waitForSlot(deps: WaitForSlotDeps): Promise<AdmissionDecision> {
    const { clock, queue, waiting, signal } = deps;
    return new Promise(resolve => {
        const cancelTimeout = clock.startTimer(deps.maxWaitMs, () => waiting.refuse("waited"));

        function settle(decision: AdmissionDecision): void {
            cancelTimeout();
            signal.removeEventListener("abort", onAbort);
            resolve(decision);
        }

        function leave(decide: () => AdmissionDecision): void {
            if (queue.remove(waiting)) {
                settle(decide());
            }
        }

        function onAbort(): void {
            leave(() => callerDisconnected);
        }

        waiting.refuse = reason => leave(() => deps.refuse(reason));
        waiting.grant = () => settle(deps.grant());
        signal.addEventListener("abort", onAbort, { once: true });
        queue.push(waiting);
        if (signal.aborted) {
            onAbort();
        }
    });
}
