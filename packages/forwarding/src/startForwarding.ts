import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { AdmissionPermit } from "./admission/AdmissionPermit.js";
import type { ContentGuard } from "./ContentGuard.js";
import { createRunStartTracker } from "./createRunStartTracker.js";
import type { ForwardingOutcome } from "./ForwardingOutcome.js";
import { logForwardingOutcome } from "./logForwardingOutcome.js";
import { recordAttemptEnd } from "./recordAttemptEnd.js";
import type { RequestForwarderDeps } from "./RequestForwarderDeps.js";
import { requestLimitMs } from "./requestLimitMs.js";
import type { RoutedRequest } from "./RoutedRequest.js";
import type { SamplerAttemptOutcome } from "./SamplerAttemptOutcome.js";
import type { SamplerAttempts } from "./SamplerAttempts.js";
import { targetLatencyMsOf } from "./targetLatencyMsOf.js";
import type { UnansweredAttempts } from "./UnansweredAttempts.js";

/** A hedge of an idempotent request starts after this fraction of the target latency without an answer. */
const hedgeRatio = 0.45;
const minHedgeMs = 60;
/** With less time left no attempt is started, since no sampler answers that fast. */
const minBudgetMs = 5;
/**
 * An attempt whose answer is no longer needed is cancelled only after this time. If it completes earlier, its
 * connection can be reused.
 */
const unusedAttemptGraceMs = 250;
/** Suggested retry delay for a refused caller; about the time in which a queued request completes. */
const retryAfterMs = 100;
const failedRunStatus = 500;

const describeAttempt = (sampler: IncarnationId, tried: SamplerAttemptOutcome): string =>
    `${sampler}:${tried.kind === "done" ? tried.answer.status : tried.kind}`;

const hedgeMsOf = ({ hedgeMs, route }: RoutedRequest): number =>
    hedgeMs ?? Math.max(minHedgeMs, hedgeRatio * targetLatencyMsOf(route));

const callerDisconnected: ForwardingOutcome = {
    kind: "failed",
    code: resultCodes.cancelled,
    detail: "the caller left",
};

/** While samplers are full, repeats must not take their capacity from first sends. */
const fitsBudget = (permit: AdmissionPermit | undefined, isRepeat: boolean): boolean =>
    !isRepeat || permit === undefined || permit.mayRepeat();

/** Runs one request to its outcome; calls `settle` exactly once. */
export function startForwarding(
    deps: Pick<RequestForwarderDeps, "clock" | "directory" | "logger" | "invariants" | "meter">,
    samplers: SamplerAttempts,
    unanswered: UnansweredAttempts,
    content: ContentGuard,
    permit: AdmissionPermit | undefined,
    request: RoutedRequest,
    signal: AbortSignal,
    settle: (outcome: ForwardingOutcome) => void,
): void {
    const { clock, logger } = deps;
    const { route } = request;
    const startedAtMs = clock.monotonicMs();
    const limitMs = requestLimitMs(request);
    const hedgeMs = hedgeMsOf(request);
    const isRepeatable = route.kind === "idempotent";
    const tried = new Set<IncarnationId>();
    const cancel = new AbortController();
    const endedAttempts: string[] = [];
    const samplersInFlight = new Set<IncarnationId>();
    let mayHaveRun = false;
    let failedRuns = 0;
    let lastAnswer: Extract<ForwardingOutcome, { kind: "answered"; }> | undefined;
    let isSettled = false;
    const runStart = createRunStartTracker(clock, deps.meter, request.team);
    let cancelHedge = (): void => {};
    const leftMs = (): number => limitMs - (clock.monotonicMs() - startedAtMs);
    const cancelAll = (): void => cancel.abort();
    const cancelTimeout = clock.startTimer(
        limitMs,
        () => finish(failure(resultCodes.deadlinePassed, "time limit")),
    );
    signal.addEventListener("abort", cancelAll, { once: true });

    /** Reports that nothing ran only if no attempt is in flight or ended with unknown outcome. */
    function failure(notRun: ResultCode, detail: string): ForwardingOutcome {
        if (!mayHaveRun && samplersInFlight.size === 0) {
            return { kind: "failed", code: notRun, detail, retryAfterMs };
        }
        const code = leftMs() < minBudgetMs ? resultCodes.deadlineWhileRunning : resultCodes.connectionBroken;
        return { kind: "failed", code, detail };
    }

    function finish(outcome: ForwardingOutcome): void {
        if (isSettled) {
            return;
        }
        isSettled = true;
        cancelTimeout();
        cancelHedge();
        runStart.close();
        logForwardingOutcome(logger, request, outcome, {
            tries: endedAttempts.join(","),
            underWay: samplersInFlight.size,
            underWayAt: samplersInFlight.size === 0 ? undefined : [...samplersInFlight].join(","),
            mayHaveRun: mayHaveRun || samplersInFlight.size > 0,
            tookMs: Math.round(clock.monotonicMs() - startedAtMs),
            limitMs: Math.round(limitMs),
            samplersAgeMs: Math.round(deps.directory.ageMs()),
        });
        if (outcome.kind === "failed") {
            cancelAll();
        }
        else if (samplersInFlight.size > 0) {
            clock.startTimer(unusedAttemptGraceMs, cancelAll);
        }
        settle({ ...outcome, failedRuns });
    }

    function scheduleHedge(): void {
        cancelHedge();
        if (isRepeatable) {
            cancelHedge = clock.startTimer(hedgeMs, () => void start(true));
        }
    }

    /** A content whose attempts keep breaking off may crash the samplers, so it gets only the first attempt. */
    const mayTry = (isRepeat: boolean): boolean =>
        tried.size === 0
        || (tried.size < route.maxAttempts && content.mayRetry() && fitsBudget(permit, isRepeat));

    /** `isRepeat`: an earlier attempt may have run. */
    async function start(isRepeat: boolean): Promise<void> {
        const sampler = mayTry(isRepeat) ? samplers.pick(request, tried) : undefined;
        const budgetMs = Math.floor(leftMs());
        if (sampler === undefined || budgetMs < minBudgetMs) {
            if (samplersInFlight.size === 0) {
                finish(lastAnswer ?? failure(resultCodes.noSampler, `${tried.size} tried`));
            }
            return;
        }
        const isFirstRun = isRepeatable || (!mayHaveRun && samplersInFlight.size === 0);
        const tries = endedAttempts.length;
        deps.invariants.check(resultCodes.ranTwice, isFirstRun, { request: request.requestId, tries });
        const { incarnation } = sampler;
        tried.add(incarnation);
        samplersInFlight.add(incarnation);
        runStart.recordSent(incarnation);
        content.recordSent();
        permit?.recordSent(isRepeat);
        scheduleHedge();
        const sentAtMs = clock.monotonicMs();
        const outcome = await samplers.run(request, sampler, budgetMs, cancel.signal);
        samplersInFlight.delete(incarnation);
        runStart.recordEnd(incarnation, outcome);
        endedAttempts.push(describeAttempt(incarnation, outcome));
        const isGivenUp = cancel.signal.aborted || leftMs() < minBudgetMs;
        const ended = { request: request.requestId, sampler: incarnation, outcome, sentAtMs, isGivenUp };
        recordAttemptEnd(content, unanswered, logger, ended);
        permit?.recordAttempt(sampler, outcome, clock.monotonicMs() - sentAtMs, isGivenUp);
        handleOutcome(outcome);
    }

    function handleOutcome(outcome: SamplerAttemptOutcome): void {
        mayHaveRun ||= outcome.kind !== "notRun";
        lastAnswer = outcome.kind === "done" ? outcome.answer : lastAnswer;
        failedRuns += outcome.kind === "done" && outcome.answer.status === failedRunStatus ? 1 : 0;
        if (isSettled) {
            return;
        }
        if (signal.aborted) {
            finish(callerDisconnected);
        }
        else if (outcome.kind === "done" && (!isRepeatable || outcome.answer.status < 500)) {
            finish(outcome.answer);
        }
        else if (isRepeatable || outcome.kind === "notRun") {
            void start(outcome.kind !== "notRun");
        }
        else {
            finish(failure(resultCodes.noSampler, outcome.kind === "unknown" ? outcome.detail : ""));
        }
    }

    if (signal.aborted) {
        finish(callerDisconnected);
        return;
    }
    void start(false);
}
