import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { chooseService } from "@auburnarch/routing/chooseService";
import { readWhole } from "@auburnarch/send/readWhole";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import { createSamplerRecords } from "./createSamplerRecords.js";
import { estimateWaitMs } from "./estimateWaitMs.js";
import type { Relay } from "./Relay.js";
import type { RelayDeps } from "./RelayDeps.js";
import type { RelayOutcome } from "./RelayOutcome.js";
import type { RelayRequest } from "./RelayRequest.js";
import type { SamplerReply } from "./SamplerReply.js";

type Answered = Extract<SamplerReply, { kind: "answered"; }>;
/** How one try ended; a `broken` one may have run. */
type Tried = { kind: "done"; answer: Answered; } | Exclude<SamplerReply, Answered>;

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
const latencySmoothing = 0.2;
const maxAnswerBytes = 33_554_432;

const chunkOf = (whole: Uint8Array): AsyncIterable<Uint8Array> => ({
    async *[Symbol.asyncIterator]() {
        yield whole;
    },
});

/**
 * Makes the relay of plain requests. An idempotent request is tried at other samplers after a failure, and beside a
 * try that is late, and its answer is checked to be whole before a byte goes on. Any other request is tried again
 * only if it has certainly not run.
 */
export function createRelay(deps: RelayDeps): Relay {
    const { clock, random, logger, metrics, directory } = deps;
    const recordOf = createSamplerRecords();

    function pick(request: RelayRequest, tried: ReadonlySet<IncarnationId>): KnownSampler | undefined {
        const service = chooseService(request.route, random);
        if (service === undefined) {
            return undefined;
        }
        const nowMs = clock.monotonicMs();
        let best: KnownSampler | undefined;
        let bestMs = Infinity;
        for (const sampler of directory.serving(service)) {
            if (tried.has(sampler.incarnation)) {
                continue;
            }
            const waitMs = estimateWaitMs(sampler, recordOf(sampler.incarnation), deps.failureDomain, nowMs);
            if (waitMs < bestMs) {
                best = sampler;
                bestMs = waitMs;
            }
        }
        return best;
    }

    async function readAnswer(answer: Answered): Promise<Tried> {
        try {
            const whole = await readWhole(answer.body, maxAnswerBytes);
            return { kind: "done", answer: { ...answer, body: chunkOf(whole) } };
        }
        catch (error) {
            const detail = error instanceof Error ? error.message : "cut short";
            return { kind: "unknown", code: resultCodes.connectionBroken, detail };
        }
    }

    async function tryAt(
        request: RelayRequest,
        sampler: KnownSampler,
        budgetMs: number,
        signal: AbortSignal,
    ): Promise<Tried> {
        const record = recordOf(sampler.incarnation);
        // Distinct even for two requests of one millisecond, since the clock counts fractions.
        let sentAtMs = clock.monotonicMs();
        while (record.sentAtMs.has(sentAtMs)) {
            sentAtMs += 0.001;
        }
        record.sentAtMs.add(sentAtMs);
        const { requestId, method, host, path, headers, body } = request;
        const reply = await deps.callSampler({
            sampler,
            requestId,
            method,
            host,
            path,
            headers,
            body,
            budgetMs,
        }, signal);
        const isBuffered = request.route.kind === "idempotent";
        const tried = reply.kind !== "answered"
            ? reply
            : isBuffered
            ? await readAnswer(reply)
            : { kind: "done" as const, answer: reply };
        record.sentAtMs.delete(sentAtMs);
        noteEnd(sampler, tried, clock.monotonicMs() - sentAtMs, signal.aborted);
        return tried;
    }

    function noteEnd(sampler: KnownSampler, tried: Tried, tookMs: number, isCancelled: boolean): void {
        const record = recordOf(sampler.incarnation);
        const result = tried.kind === "done" ? String(tried.answer.status) : tried.kind;
        metrics.observeMs("relay_try_ms", { service: sampler.service, result }, tookMs);
        if (tried.kind === "done") {
            const before = record.latencyMs ?? tookMs;
            record.latencyMs = before + latencySmoothing * (tookMs - before);
        }
        else if (!isCancelled) {
            record.failedAtMs = clock.monotonicMs();
        }
    }

    const isFinal = (tried: Tried): boolean => tried.kind === "done" && tried.answer.status < 500;

    return (request, signal) =>
        new Promise(resolve => {
            const { route, requestId } = request;
            const startedAtMs = clock.monotonicMs();
            const limitMs = Math.min(
                request.deadlineMs ?? defaultBudgetMs,
                route.timeoutMs ?? defaultBudgetMs,
            );
            const isRepeatable = route.kind === "idempotent";
            const hedgeMs = Math.max(leastHedgeMs, hedgePart * (route.targetLatencyMs ?? defaultTargetMs));
            const tried = new Set<IncarnationId>();
            const cancel = new AbortController();
            const tries: string[] = [];
            let underWay = 0;
            let mayHaveRun = false;
            let lastReply: Tried | undefined;
            let isSettled = false;
            let cancelHedge = (): void => {};

            const leftMs = (): number => limitMs - (clock.monotonicMs() - startedAtMs);
            const onCancel = (): void => cancel.abort();
            const cancelTimeout = clock.startTimer(limitMs, () => {
                settle(giveUp(resultCodes.deadlineWhileRunning, "time limit"));
            });
            signal.addEventListener("abort", onCancel, { once: true });

            function settle(outcome: RelayOutcome): void {
                if (isSettled) {
                    return;
                }
                isSettled = true;
                cancelTimeout();
                cancelHedge();
                logOutcome(outcome);
                if (outcome.kind === "failed") {
                    cancel.abort();
                }
                else if (underWay > 0) {
                    clock.startTimer(loserGraceMs, onCancel);
                }
                resolve(outcome);
            }

            function logOutcome(outcome: RelayOutcome): void {
                const isAnswered = outcome.kind === "answered";
                logger.info("requestRelayed", {
                    request: requestId,
                    route: route.name,
                    kind: route.kind,
                    tries: tries.join(","),
                    status: isAnswered ? outcome.status : undefined,
                    code: isAnswered ? undefined : outcome.code.number,
                    name: isAnswered ? undefined : outcome.code.name,
                    detail: isAnswered ? undefined : outcome.detail,
                    mayHaveRun,
                    tookMs: Math.round(clock.monotonicMs() - startedAtMs),
                    limitMs: Math.round(limitMs),
                });
            }

            /** A promise that nothing ran holds only while no try is out or of unknown outcome. */
            function giveUp(code: typeof resultCodes.noSampler, detail: string): RelayOutcome {
                const hasRun = mayHaveRun || underWay > 0;
                const isLate = leftMs() < leastBudgetMs;
                const ranCode = isLate ? resultCodes.deadlineWhileRunning : resultCodes.connectionBroken;
                return hasRun
                    ? { kind: "failed", code: code.number < 3_000 ? ranCode : code, detail }
                    : {
                        kind: "failed",
                        code: code.number < 3_000 ? code : resultCodes.deadlinePassed,
                        detail,
                        retryAfterMs,
                    };
            }

            async function start(): Promise<void> {
                const sampler = tried.size < route.maxAttempts ? pick(request, tried) : undefined;
                const budgetMs = Math.floor(leftMs());
                if (sampler === undefined || budgetMs < leastBudgetMs) {
                    if (underWay === 0) {
                        settle(lastAnswer() ?? giveUp(resultCodes.noSampler, `${tried.size} tried`));
                    }
                    return;
                }
                tried.add(sampler.incarnation);
                underWay++;
                scheduleHedge();
                const ended = await tryAt(request, sampler, budgetMs, cancel.signal);
                underWay--;
                tries.push(
                    `${sampler.incarnation}:${ended.kind === "done" ? ended.answer.status : ended.kind}`,
                );
                take(ended);
            }

            function lastAnswer(): RelayOutcome | undefined {
                return lastReply?.kind === "done" ? lastReply.answer : undefined;
            }

            function scheduleHedge(): void {
                cancelHedge();
                if (isRepeatable) {
                    cancelHedge = clock.startTimer(hedgeMs, () => void start());
                }
            }

            function take(ended: Tried): void {
                mayHaveRun ||= ended.kind !== "notRun";
                if (ended.kind === "done") {
                    lastReply = ended;
                }
                if (isSettled) {
                    return;
                }
                if (signal.aborted) {
                    settle({ kind: "failed", code: resultCodes.cancelled, detail: "the caller left" });
                }
                else if (isFinal(ended) || (!isRepeatable && ended.kind === "done")) {
                    settle((ended as { answer: Answered; }).answer);
                }
                else if (isRepeatable || ended.kind === "notRun") {
                    void start();
                }
                else {
                    settle(
                        giveUp(resultCodes.connectionBroken, ended.kind === "unknown" ? ended.detail : ""),
                    );
                }
            }

            if (signal.aborted) {
                settle({ kind: "failed", code: resultCodes.cancelled, detail: "the caller left" });
                return;
            }
            void start();
        });
}
