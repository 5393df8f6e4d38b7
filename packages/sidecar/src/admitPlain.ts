import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { assertMayStart } from "./assertMayStart.js";
import { createWorkAbort } from "./createWorkAbort.js";
import { findCommonRefusal } from "./findCommonRefusal.js";
import { findQuarantineRefusal } from "./findQuarantineRefusal.js";
import { findQueueRefusal } from "./findQueueRefusal.js";
import type { PlainWork } from "./PlainWork.js";
import { refusalOutcome } from "./refusalOutcome.js";
import { reserveForTrial } from "./reserveForTrial.js";
import type { SidecarContext } from "./SidecarContext.js";
import type { Slot } from "./Slot.js";
import type { WorkAbort } from "./WorkAbort.js";

type Refused = { kind: "refused"; outcome: AttemptOutcome<never>; };

const interactivePriority = 100;

/** Checks an interactive or plain request and waits for its slot. `costMs` is the time it is expected to take. */
export async function admitPlain(
    context: SidecarContext,
    request: PlainRequest,
    costMs: number,
    policy: PolicyId | undefined,
    signal: AbortSignal,
): Promise<Refused | { kind: "admitted"; work: PlainWork; }> {
    const { attempts, deps } = context;
    const refusal = findCommonRefusal(context, request) ?? findDownRefusal(context)
        ?? findQueueRefusal(context, request);
    if (refusal !== undefined) {
        if (attempts.statusOf(request.attempt) === undefined) {
            attempts.refuse(request.attempt);
        }
        return refuse(context, request, refusal);
    }
    assertMayStart(context, request.attempt);
    attempts.start(request.attempt);
    const abort = createWorkAbort({ clock: deps.clock, callerSignal: signal, inFlight: context.inFlight });
    const reservation = request.isTrial === true
        ? await reserveForTrial(context, request.budgetMs, abort.signal)
        : { budgetMs: request.budgetMs, release: () => {} };
    const refuseStarted = (code: ResultCode): Refused => {
        reservation?.release();
        abort.dispose();
        attempts.refuse(request.attempt);
        return refuse(context, request, code);
    };
    if (reservation === undefined) {
        return refuseStarted(resultCodes.overloaded);
    }
    const pendingGrant = context.slots.acquire({
        team: request.team,
        priority: interactivePriority,
        costMs,
        budgetMs: reservation.budgetMs,
        policy,
        preempt: undefined,
        signal: abort.signal,
    });
    const grant = pendingGrant instanceof Promise ? await pendingGrant : pendingGrant;
    if (grant.kind === "refused") {
        return refuseStarted(grant.code);
    }
    // Another suspect content may have started here while the request waited.
    const lateRefusal = findQuarantineRefusal(context, request);
    if (lateRefusal !== undefined) {
        grant.slot.release(0);
        return refuseStarted(lateRefusal);
    }
    return {
        kind: "admitted",
        work: createWork(context, { ...request, budgetMs: reservation.budgetMs }, {
            abort,
            slot: grant.slot,
            releaseReservation: reservation.release,
        }),
    };
}

function findDownRefusal(context: SidecarContext): ResultCode | undefined {
    return context.plainHealth.isDown() ? resultCodes.engineDown : undefined;
}

function refuse(context: SidecarContext, request: PlainRequest, code: ResultCode): Refused {
    const { logger, metrics } = context.deps;
    logger.info("requestRefused", {
        attempt: request.attempt,
        service: request.service,
        team: request.team,
        code: code.number,
        reason: code.name,
        running: context.slots.running(),
        limit: context.limit.current(),
        waiting: context.slots.waiting(),
    });
    metrics.count("gate_attempts_total", { kind: "plain", outcome: code.name });
    return { kind: "refused", outcome: refusalOutcome(code) };
}

function createWork(
    context: SidecarContext,
    request: PlainRequest,
    { abort, slot, releaseReservation }: { abort: WorkAbort; slot: Slot; releaseReservation: () => void; },
): PlainWork {
    const removeInFlight = context.suspects.addInFlight(request.digest);
    let expired = false;
    let ended = false;

    function close(engineMs: number): boolean {
        if (ended) {
            return false;
        }
        ended = true;
        abort.dispose();
        removeInFlight();
        slot.release(engineMs);
        releaseReservation();
        return true;
    }

    abort.expireAfter(request.budgetMs - slot.waitedMs, () => {
        expired = true;
    });
    return {
        signal: abort.signal,
        abort: abort.abort,
        expired: () => expired,
        end: (engineMs, tokens) => {
            if (close(engineMs)) {
                context.attempts.finish(request.attempt);
                context.usage.add({ team: request.team, job: undefined, engineMs, tokens });
            }
        },
        endUnstarted: () => {
            if (close(0)) {
                context.attempts.refuse(request.attempt);
            }
        },
    };
}
