import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { checkStart } from "./checkStart.js";
import { createWorkAbort } from "./createWorkAbort.js";
import type { GateContext } from "./GateContext.js";
import { holdForTrial } from "./holdForTrial.js";
import type { PlainWork } from "./PlainWork.js";
import { refusalOutcome } from "./refusalOutcome.js";
import { refuseCommon } from "./refuseCommon.js";
import { refuseQueue } from "./refuseQueue.js";
import { refuseSuspect } from "./refuseSuspect.js";
import type { Slot } from "./Slot.js";
import type { WorkAbort } from "./WorkAbort.js";

type Refused = { kind: "refused"; outcome: AttemptOutcome<never>; };

const interactivePriority = 100;

/** Checks an interactive or plain request and waits for its place. `costMs` is the time it is expected to take. */
export async function admitPlain(
    context: GateContext,
    request: PlainRequest,
    costMs: number,
    policy: PolicyId | undefined,
    signal: AbortSignal,
): Promise<Refused | { kind: "admitted"; work: PlainWork; }> {
    const { attempts, deps } = context;
    const refusal = refuseCommon(context, request) ?? refuseDown(context) ?? refuseQueue(context, request);
    if (refusal !== undefined) {
        if (attempts.standing(request.attempt) === undefined) {
            attempts.refuse(request.attempt);
        }
        return refuse(context, request, refusal);
    }
    checkStart(context, request.attempt);
    attempts.start(request.attempt);
    const abort = createWorkAbort({ clock: deps.clock, caller: signal, inFlight: context.inFlight });
    const held = request.isTrial === true
        ? await holdForTrial(context, request.budgetMs, abort.signal)
        : { budgetMs: request.budgetMs, end: () => {} };
    const refuseStarted = (code: ResultCode): Refused => {
        held?.end();
        abort.dispose();
        attempts.refuse(request.attempt);
        return refuse(context, request, code);
    };
    if (held === undefined) {
        return refuseStarted(resultCodes.overloaded);
    }
    const asked = context.slots.acquire({
        team: request.team,
        priority: interactivePriority,
        costMs,
        budgetMs: held.budgetMs,
        policy,
        preempt: undefined,
        signal: abort.signal,
    });
    const grant = asked instanceof Promise ? await asked : asked;
    if (grant.kind === "refused") {
        return refuseStarted(grant.code);
    }
    // While it waited, another suspect content may have begun here.
    const late = refuseSuspect(context, request);
    if (late !== undefined) {
        grant.slot.release(0);
        return refuseStarted(late);
    }
    return {
        kind: "admitted",
        work: createWork(context, { ...request, budgetMs: held.budgetMs }, {
            abort,
            slot: grant.slot,
            endHold: held.end,
        }),
    };
}

function refuseDown(context: GateContext): ResultCode | undefined {
    return context.plainHealth.isDown() ? resultCodes.engineDown : undefined;
}

function refuse(context: GateContext, request: PlainRequest, code: ResultCode): Refused {
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
    context: GateContext,
    request: PlainRequest,
    { abort, slot, endHold }: { abort: WorkAbort; slot: Slot; endHold: () => void; },
): PlainWork {
    const leaveSuspects = context.suspects.enter(request.digest);
    let expired = false;
    let ended = false;

    function close(engineMs: number): boolean {
        if (ended) {
            return false;
        }
        ended = true;
        abort.dispose();
        leaveSuspects();
        slot.release(engineMs);
        endHold();
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
