import type { Clock } from "@auburnarch/types/Clock";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import { requestLimitMs } from "../requestLimitMs.js";
import type { AdmissionPermit } from "./AdmissionPermit.js";
import { recordAttemptLoad } from "./recordAttemptLoad.js";
import { releaseAfterBody } from "./releaseAfterBody.js";
import type { RepeatBudget } from "./RepeatBudget.js";
import type { ServiceLimit } from "./ServiceLimit.js";
import type { WaitingRequest } from "./WaitingRequest.js";

interface PermitDeps {
    clock: Clock;
    service: ServiceId;
    waiting: WaitingRequest;
    signal: AbortSignal;
    limit: ServiceLimit;
    budget: RepeatBudget;
    /** Requests of the service in flight. */
    inFlight: () => number;
    onAttempt: () => void;
    /** Called once, when the slot is free again. */
    onRelease: (heldMs: number, isAnswered: boolean) => void;
    /** Records that the request has not run after all, and returns its Retry-After. */
    recordRefusal: () => number;
}

/** Creates the permit of one request, which holds a slot until the answer has been read. */
export function createAdmissionPermit(deps: PermitDeps): AdmissionPermit {
    const { clock, waiting, limit, budget } = deps;
    const { request } = waiting;
    const startedAtMs = clock.monotonicMs();
    let isReleased = false;
    let isSent = false;

    function release(isAnswered: boolean): void {
        if (!isReleased) {
            isReleased = true;
            deps.onRelease(clock.monotonicMs() - startedAtMs, isAnswered);
        }
    }

    return {
        service: deps.service,
        mayRepeat: () => limit.current() === Number.POSITIVE_INFINITY || budget.mayRepeat(),
        recordSent: isRepeat => {
            if (isRepeat) {
                budget.recordRepeat();
            }
            else if (!isSent) {
                budget.recordFirstSend();
            }
            isSent = true;
        },
        recordAttempt: (sampler, outcome, tookMs, isGivenUp) => {
            const inFlight = deps.inFlight();
            recordAttemptLoad(limit, request, { sampler, outcome, tookMs, isGivenUp, inFlight });
            deps.onAttempt();
        },
        finish: outcome => {
            if (outcome.kind === "answered" && request.route.kind !== "idempotent") {
                const leftMs = requestLimitMs(request) - (clock.monotonicMs() - waiting.queuedAtMs);
                return releaseAfterBody(
                    clock,
                    outcome,
                    deps.signal,
                    Math.max(0, leftMs),
                    () => release(true),
                );
            }
            release(outcome.kind === "answered");
            return outcome.kind === "failed" && outcome.retryAfterMs !== undefined
                ? { ...outcome, retryAfterMs: deps.recordRefusal() }
                : outcome;
        },
    };
}
