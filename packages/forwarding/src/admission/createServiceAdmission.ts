import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { LogFields } from "@auburnarch/types/LogFields";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import { requestLimitMs } from "../requestLimitMs.js";
import type { AdmissionDecision } from "./AdmissionDecision.js";
import type { AdmissionPermit } from "./AdmissionPermit.js";
import { createAdmissionPermit } from "./createAdmissionPermit.js";
import { createAdmissionQueue } from "./createAdmissionQueue.js";
import { createRepeatBudget } from "./createRepeatBudget.js";
import { createReturnTimes } from "./createReturnTimes.js";
import { createServiceLimit } from "./createServiceLimit.js";
import { createWaitingRequest } from "./createWaitingRequest.js";
import { estimateQueueWaitMs } from "./estimateQueueWaitMs.js";
import { findWaitRefusal } from "./findWaitRefusal.js";
import type { ServiceAdmission } from "./ServiceAdmission.js";
import type { ServiceAdmissionDeps } from "./ServiceAdmissionDeps.js";
import { waitForSlot } from "./waitForSlot.js";
import type { WaitingRequest } from "./WaitingRequest.js";

type RefusalReason = "wait" | "timeLeft" | "waited" | "noSampler" | "closing";

/** Assumed until a request has been answered; about the mean latency of a plain service. */
const assumedHoldMs = 40;
const holdSmoothing = 0.2;
/** With less time left, no attempt is started, and the refusal would reach the caller too late. */
const minLeftMs = 5;

const codeByReason: Record<RefusalReason, ResultCode> = {
    wait: resultCodes.waitTooLong,
    timeLeft: resultCodes.waitTooLong,
    waited: resultCodes.waitTooLong,
    noSampler: resultCodes.noSampler,
    closing: resultCodes.shuttingDown,
};

/** Creates the admission of one service at one gateway. */
export function createServiceAdmission(deps: ServiceAdmissionDeps, service: ServiceId): ServiceAdmission {
    const { clock, logger, metrics, refusedContents } = deps;
    const nowMs = clock.monotonicMs;
    const limit = createServiceLimit(nowMs);
    const budget = createRepeatBudget(nowMs);
    const returnDelayMs = createReturnTimes(clock, deps.random);
    let holdMs = assumedHoldMs;
    const queue = createAdmissionQueue(nowMs, () => holdMs);
    let inFlight = 0;
    let changedAtMs = nowMs();
    let isClosed = false;

    function report(): void {
        metrics.set("admission_waiting", { service }, queue.size());
        metrics.set("admission_in_flight", { service }, inFlight);
        metrics.set("admission_limit", { service }, limit.current());
    }

    function log(event: string, { request, queuedAtMs }: WaitingRequest, fields: LogFields): void {
        const { requestId, team } = request;
        const waitedMs = Math.round(nowMs() - queuedAtMs);
        const state = { waitedMs, inFlight, limit: limit.current() };
        logger.info(event, { request: requestId, team, service, ...fields, ...state });
    }

    const leftMs = ({ request, queuedAtMs }: WaitingRequest): number =>
        requestLimitMs(request) - (nowMs() - queuedAtMs);
    const expectedWaitMs = (ahead: number): number =>
        estimateQueueWaitMs({ ahead, holdMs, limit: limit.current(), sinceChangeMs: nowMs() - changedAtMs });

    /** Records a request that has not run, and returns the time after which its caller should return. */
    function recordRefusal(waiting: WaitingRequest, waitMs: number): number {
        refusedContents.record(waiting.request, waiting.refusedAtMs);
        const concurrency = Math.max(1, Math.min(inFlight, limit.current()));
        const intervalMs = holdMs / concurrency;
        const { team } = waiting;
        return returnDelayMs({ team, expectedWaitMs: waitMs, intervalMs, leftMs: leftMs(waiting) });
    }

    function refuse(waiting: WaitingRequest, reason: RefusalReason, ahead: number): AdmissionDecision {
        const waitMs = Math.round(reason === "noSampler" ? waiting.maxWaitMs : expectedWaitMs(ahead));
        const retryAfterMs = recordRefusal(waiting, waitMs);
        metrics.count("admission_refused_total", { service, reason });
        log("requestRefusedForLoad", waiting, { reason, expectedWaitMs: waitMs, retryAfterMs, ahead });
        report();
        const outcome = { kind: "failed" as const, code: codeByReason[reason], detail: reason, retryAfterMs };
        return { kind: "refused", outcome };
    }

    function startWaiting(): void {
        while (inFlight < limit.current() && queue.size() > 0) {
            queue.pop(() => true)!.grant();
        }
        report();
    }

    /** Takes a slot for a request that the queue has been charged for. */
    function takeSlot(waiting: WaitingRequest, signal: AbortSignal): AdmissionPermit {
        inFlight++;
        changedAtMs = nowMs();
        return createAdmissionPermit({
            clock,
            service,
            waiting,
            signal,
            limit,
            budget,
            inFlight: () => inFlight,
            onAttempt: startWaiting,
            onRelease: (heldMs, isAnswered) => {
                holdMs += isAnswered ? holdSmoothing * (heldMs - holdMs) : 0;
                inFlight--;
                changedAtMs = nowMs();
                queue.settle(waiting, heldMs);
                startWaiting();
            },
            recordRefusal: () => recordRefusal(waiting, waiting.maxWaitMs),
        });
    }

    function admitAtOnce(waiting: WaitingRequest, signal: AbortSignal): AdmissionDecision {
        queue.charge(waiting);
        const permit = takeSlot(waiting, signal);
        report();
        return { kind: "admitted", permit };
    }

    function grant(waiting: WaitingRequest, ahead: number, signal: AbortSignal): AdmissionDecision {
        const permit = takeSlot(waiting, signal);
        log("requestQueued", waiting, { ahead, isReturning: waiting.refusedAtMs !== undefined });
        return { kind: "admitted", permit };
    }

    async function wait(
        waiting: WaitingRequest,
        ahead: number,
        signal: AbortSignal,
    ): Promise<AdmissionDecision> {
        const decision = await waitForSlot({
            clock,
            queue,
            waiting,
            signal,
            maxWaitMs: Math.min(waiting.maxWaitMs, Math.max(0, leftMs(waiting) - minLeftMs)),
            grant: () => grant(waiting, ahead, signal),
            refuse: reason => refuse(waiting, reason, queue.aheadOf(waiting)),
        });
        report();
        return decision;
    }

    return {
        admit: async (request, signal) => {
            const refusedAtMs = refusedContents.take(request);
            const waiting = createWaitingRequest(request, { holdMs, queuedAtMs: nowMs(), refusedAtMs });
            if (deps.directory.serving(service).length === 0) {
                return refuse(waiting, "noSampler", 0);
            }
            if (inFlight === 0) {
                limit.recordIdle();
            }
            if (inFlight < limit.current()) {
                return admitAtOnce(waiting, signal);
            }
            limit.recordReached();
            const ahead = queue.aheadOf(waiting);
            const waitMs = expectedWaitMs(ahead);
            const { maxWaitMs } = waiting;
            const limits = { expectedWaitMs: waitMs, holdMs, maxWaitMs, leftMs: leftMs(waiting) };
            const reason = isClosed ? "closing" : findWaitRefusal(limits);
            return reason === undefined ? wait(waiting, ahead, signal) : refuse(waiting, reason, ahead);
        },
        close: () => {
            isClosed = true;
            queue.items().forEach(waiting => waiting.refuse("closing"));
        },
    };
}
