import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { PlainBackend } from "@auburnarch/types/PlainBackend";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import { admitPlain } from "./admitPlain.js";
import type { PlainWork } from "./PlainWork.js";
import type { SidecarContext } from "./SidecarContext.js";
import { watchBody } from "./watchBody.js";

type Outcome = AttemptOutcome<PlainAnswer>;

/** Creates `callPlain` of a plain service's sidecar. */
export function createPlainRunner(context: SidecarContext, backend: PlainBackend): SidecarPort["callPlain"] {
    const { clock, metrics } = context.deps;

    async function callPlain(request: PlainRequest, signal: AbortSignal): Promise<Outcome> {
        const admitted = await admitPlain(context, request, request.budgetMs, undefined, signal);
        return admitted.kind === "refused" ? admitted.outcome : callBackend(request, admitted.work);
    }

    async function callBackend(request: PlainRequest, work: PlainWork): Promise<Outcome> {
        const startedAtMs = clock.monotonicMs();
        const outcome = await backend(request, work.signal);
        context.limit.observe(clock.monotonicMs() - startedAtMs, context.slots.running());
        metrics.count("gate_attempts_total", { kind: "plain", outcome: outcome.kind });
        const spentMs = (): number => clock.monotonicMs() - startedAtMs;
        recordHealth(request, outcome, work);
        if (outcome.kind === "ran") {
            const body = watchBody(outcome.answer.body, work.signal, () => work.end(spentMs(), 0));
            return { kind: "ran", answer: { ...outcome.answer, body } };
        }
        if (outcome.kind === "notRun") {
            work.endUnstarted();
            return outcome;
        }
        work.end(spentMs(), 0);
        return work.expired() ? { kind: "unknown", code: resultCodes.deadlineWhileRunning } : outcome;
    }

    function recordHealth(request: PlainRequest, outcome: Outcome, work: PlainWork): void {
        if (outcome.kind === "ran") {
            context.plainHealth.recordAnswer(request.digest);
        }
        else if (outcome.kind === "notRun") {
            context.plainHealth.recordRefusedConnection();
        }
        else if (!work.signal.aborted && outcome.code !== resultCodes.answerMalformed) {
            context.plainHealth.recordBrokenConnection(request.digest);
        }
    }

    return callPlain;
}
