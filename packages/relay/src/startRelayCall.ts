import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { ContentGuard } from "./ContentGuard.js";
import { createRunStart } from "./createRunStart.js";
import { logRelayOutcome } from "./logRelayOutcome.js";
import type { RelayDeps } from "./RelayDeps.js";
import type { RelayOutcome } from "./RelayOutcome.js";
import type { RelayRequest } from "./RelayRequest.js";
import type { SamplerTries } from "./SamplerTries.js";
import type { Tried } from "./Tried.js";

/** Used where neither caller nor route bounds the time. */
const defaultBudgetMs = 10_000;
/** A second try of an idempotent request starts after this part of the target latency without an answer. */
const hedgePart = 0.45;
const leastHedgeMs = 60;
const defaultTargetMs = 200;
/** Less than this is not worth sending: no sampler answers in it. */
const leastBudgetMs = 5;
/** A try that lost to another is cancelled after this time; until then its connection stays useful. */
const loserGraceMs = 250;
/** When a refused caller should come back; about the time in which a queued request of another ends. */
const retryAfterMs = 100;

const describeTry = (sampler: IncarnationId, tried: Tried): string =>
    `${sampler}:${tried.kind === "done" ? tried.answer.status : tried.kind}`;

const hedgeMsOf = ({ hedgeMs, route }: RelayRequest): number =>
    hedgeMs ?? Math.max(leastHedgeMs, hedgePart * (route.targetLatencyMs ?? defaultTargetMs));

const left: RelayOutcome = { kind: "failed", code: resultCodes.cancelled, detail: "the caller left" };

/** Runs one request to its outcome: `settle` is called exactly once. */
export function startRelayCall(
    deps: Pick<RelayDeps, "clock" | "directory" | "logger" | "invariants" | "meter">,
    samplers: SamplerTries,
    content: ContentGuard,
    request: RelayRequest,
    signal: AbortSignal,
    settle: (outcome: RelayOutcome) => void,
): void {
    const { clock, logger } = deps;
    const { route } = request;
    const startedAtMs = clock.monotonicMs();
    const limitMs = Math.min(request.deadlineMs ?? defaultBudgetMs, route.timeoutMs ?? defaultBudgetMs);
    const hedgeMs = hedgeMsOf(request);
    const isRepeatable = route.kind === "idempotent";
    const tried = new Set<IncarnationId>();
    const cancel = new AbortController();
    const ended: string[] = [];
    let underWay = 0;
    let mayHaveRun = false;
    let lastAnswer: Extract<RelayOutcome, { kind: "answered"; }> | undefined;
    let isSettled = false;
    const runStart = createRunStart(clock, deps.meter, request.team);
    let cancelHedge = (): void => {};
    const leftMs = (): number => limitMs - (clock.monotonicMs() - startedAtMs);
    const cancelAll = (): void => cancel.abort();
    const endInTime = (): void => finish(failure(resultCodes.deadlinePassed, "time limit"));
    const cancelTimeout = clock.startTimer(limitMs, endInTime);
    signal.addEventListener("abort", cancelAll, { once: true });

    /** A promise that nothing ran holds only while no try is out or of unknown outcome. */
    function failure(notRun: ResultCode, detail: string): RelayOutcome {
        if (!mayHaveRun && underWay === 0) {
            return { kind: "failed", code: notRun, detail, retryAfterMs };
        }
        const isLate = leftMs() < leastBudgetMs;
        return {
            kind: "failed",
            code: isLate ? resultCodes.deadlineWhileRunning : resultCodes.connectionBroken,
            detail,
        };
    }

    function finish(outcome: RelayOutcome): void {
        if (isSettled) {
            return;
        }
        isSettled = true;
        cancelTimeout();
        cancelHedge();
        runStart.close();
        logRelayOutcome(logger, request, outcome, {
            tries: ended.join(","),
            underWay,
            mayHaveRun: mayHaveRun || underWay > 0,
            tookMs: Math.round(clock.monotonicMs() - startedAtMs),
            limitMs: Math.round(limitMs),
            samplersAgeMs: Math.round(deps.directory.ageMs()),
        });
        if (outcome.kind === "failed") {
            cancelAll();
        }
        else if (underWay > 0) {
            clock.startTimer(loserGraceMs, cancelAll);
        }
        settle(outcome);
    }

    function scheduleHedge(): void {
        cancelHedge();
        if (isRepeatable) {
            cancelHedge = clock.startTimer(hedgeMs, () => void start());
        }
    }

    /** A content that breaks off wherever it runs may kill what runs it, so only the first try is left to it. */
    const mayTry = (): boolean => tried.size === 0 || (tried.size < route.maxAttempts && content.mayRetry());

    async function start(): Promise<void> {
        const sampler = mayTry() ? samplers.pick(request, tried) : undefined;
        const budgetMs = Math.floor(leftMs());
        if (sampler === undefined || budgetMs < leastBudgetMs) {
            if (underWay === 0) {
                finish(lastAnswer ?? failure(resultCodes.noSampler, `${tried.size} tried`));
            }
            return;
        }
        const isFirstRun = isRepeatable || (!mayHaveRun && underWay === 0);
        deps.invariants.check(resultCodes.ranTwice, isFirstRun, {
            request: request.requestId,
            tries: ended.length,
        });
        tried.add(sampler.incarnation);
        underWay++;
        runStart.noteSent(sampler.incarnation);
        content.noteSent();
        scheduleHedge();
        const outcome = await samplers.run(request, sampler, budgetMs, cancel.signal);
        underWay--;
        runStart.noteEnded(sampler.incarnation, outcome);
        ended.push(describeTry(sampler.incarnation, outcome));
        noteEnd(outcome);
        take(outcome);
    }

    /** What was cancelled here, or ended with its time, broke off for no reason of its own. */
    function noteEnd(outcome: Tried): void {
        if (outcome.kind === "done") {
            content.noteRan();
        }
        const isBroken = outcome.kind === "unknown" && outcome.code === resultCodes.connectionBroken;
        if (isBroken && !cancel.signal.aborted && leftMs() >= leastBudgetMs) {
            content.noteBroken();
        }
    }

    function take(outcome: Tried): void {
        mayHaveRun ||= outcome.kind !== "notRun";
        lastAnswer = outcome.kind === "done" ? outcome.answer : lastAnswer;
        if (isSettled) {
            return;
        }
        if (signal.aborted) {
            finish(left);
        }
        else if (outcome.kind === "done" && (!isRepeatable || outcome.answer.status < 500)) {
            finish(outcome.answer);
        }
        else if (isRepeatable || outcome.kind === "notRun") {
            void start();
        }
        else {
            finish(failure(resultCodes.noSampler, outcome.kind === "unknown" ? outcome.detail : ""));
        }
    }

    if (signal.aborted) {
        finish(left);
        return;
    }
    void start();
}
