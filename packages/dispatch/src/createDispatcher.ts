import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { countTokens } from "./countTokens.js";
import { createAttemptRunner } from "./createAttemptRunner.js";
import { createDispatchRound } from "./createDispatchRound.js";
import { createDispatchState } from "./createDispatchState.js";
import { createOutcomeHandler } from "./createOutcomeHandler.js";
import { createPlacement } from "./createPlacement.js";
import { defaultDispatchPolicy } from "./defaultDispatchPolicy.js";
import { describeUnfinished } from "./describeUnfinished.js";
import type { Dispatcher } from "./Dispatcher.js";
import type { DispatcherDeps } from "./DispatcherDeps.js";
import type { DispatchPolicy } from "./DispatchPolicy.js";
import { joinSpans } from "./joinSpans.js";
import { oldestStep } from "./oldestStep.js";
import type { SampleWork } from "./SampleWork.js";
import { updateEstimates } from "./updateEstimates.js";

/** Sampler views change without notification, so a round runs at this interval even if no attempt has ended. */
const tickIntervalMs = 100;
/** Interval at which the estimates of waiting samples are updated. */
const refreshIntervalMs = 500;
/** Longest that a stop waits for cancelled attempts to end; a frozen VM never reports their end. */
const stopTimeoutMs = 1_000;

const createSampleWork = (task: SampleTask, arrivalOrder: number, minVersion: WeightVersion): SampleWork => ({
    task,
    arrivalOrder,
    expectedTokens: 0,
    latestStartMs: 0,
    notBeforeMs: 0,
    minVersion,
    resume: task.resume ?? [],
    failures: 0,
    fruitless: 0,
    attemptsSent: 0,
    moves: 0,
    avoid: new Set(),
    running: new Set(),
});

/** The longest of the spans kept from ended attempts and those of each running attempt. */
function longestSpans(work: SampleWork | undefined): TokenSpan[] {
    let longest = work?.resume ?? [];
    for (const attempt of work?.running ?? []) {
        const spans = joinSpans(attempt.resumedSpans, attempt.spans);
        longest = countTokens(spans) > countTokens(longest) ? spans : longest;
    }
    return longest;
}

const higherVersion = (a: WeightVersion, b: WeightVersion): WeightVersion => a > b ? a : b;

/** Creates the dispatcher of one job under one fencing number; see `Dispatcher`. */
export function createDispatcher(
    deps: DispatcherDeps,
    policy: DispatchPolicy = defaultDispatchPolicy,
): Dispatcher {
    const { clock, logger } = deps;
    const state = createDispatchState(deps, policy);
    const placement = createPlacement(deps, state);
    const outcomes = createOutcomeHandler(deps, state, () => runner, enqueue);
    const runner = createAttemptRunner(deps, state, (attempt, outcome) => {
        outcomes.handle(attempt, outcome);
        scheduleRound();
    });
    const round = createDispatchRound(deps, state, placement, runner);
    let lowestUsableVersion = 0 as WeightVersion;
    let arrivalCount = 0;
    let refreshedAtMs = 0;
    let isRoundScheduled = false;
    let cancelRound = (): void => {};

    function enqueue(work: SampleWork, delayMs: number): void {
        const nowMs = clock.monotonicMs();
        updateEstimates(state, work, oldestStep(state), nowMs);
        work.notBeforeMs = nowMs + delayMs;
        state.queue.add(work);
        scheduleRound();
    }

    /** Attempts that end at the same time share one round. */
    function scheduleRound(): void {
        if (!isRoundScheduled && !state.isStopped) {
            isRoundScheduled = true;
            cancelRound = clock.startTimer(0, runRound);
        }
    }

    function runRound(): void {
        isRoundScheduled = false;
        if (!state.isStopped && (state.queue.size() > 0 || state.attempts.size > 0) && deps.mayAct()) {
            round.run();
        }
    }

    /** Updates the estimates: length predictions and need dates change while samples wait. */
    function refreshIfDue(): void {
        const nowMs = clock.monotonicMs();
        if (nowMs - refreshedAtMs < refreshIntervalMs) {
            return;
        }
        refreshedAtMs = nowMs;
        const oldest = oldestStep(state);
        for (const work of state.queue.all()) {
            updateEstimates(state, work, oldest, nowMs);
        }
        state.queue.invalidateOrder();
    }

    function tick(): void {
        outcomes.abandonStalled();
        if (state.queue.size() > 0) {
            refreshIfDue();
        }
        // Also while nothing waits: the trainer idles until the last sample on a slow sampler is finished or moved.
        if (state.queue.size() > 0 || state.attempts.size > 0) {
            scheduleRound();
        }
        cancelTick = clock.startTimer(tickIntervalMs, tick);
    }

    function raiseMinVersion(published: WeightVersion, minVersion: WeightVersion): void {
        lowestUsableVersion = higherVersion(lowestUsableVersion, minVersion);
        let stale = 0;
        for (const work of state.unfinished.values()) {
            work.minVersion = higherVersion(work.minVersion, lowestUsableVersion);
            const isStale = (span: TokenSpan): boolean => span.version < work.minVersion;
            if (work.resume.some(isStale)) {
                work.resume = [];
            }
            for (const attempt of work.running) {
                if (attempt.resumedSpans.some(isStale) || attempt.spans.some(isStale)) {
                    runner.end(attempt, "stale");
                    stale++;
                }
            }
        }
        logger.info("minVersionRaised", { published, minVersion, stale, waiting: state.queue.size() });
        scheduleRound();
    }

    let cancelTick = clock.startTimer(tickIntervalMs, tick);
    return {
        submit: tasks => {
            const newTasks = tasks.filter(task => !state.isStopped && !state.unfinished.has(task.sample));
            for (const task of newTasks) {
                const work = createSampleWork(
                    task,
                    arrivalCount++,
                    higherVersion(task.minVersion, lowestUsableVersion),
                );
                state.unfinished.set(task.sample, work);
                state.needForecast.recordOpened(task.step, clock.monotonicMs());
                enqueue(work, 0);
            }
        },
        withdraw: samples => {
            for (const work of samples.flatMap(sample => state.unfinished.get(sample) ?? [])) {
                state.unfinished.delete(work.task.sample);
                state.queue.remove(work);
                work.running.forEach(attempt => runner.end(attempt, "withdrawn"));
            }
        },
        spansOf: sample => longestSpans(state.unfinished.get(sample)),
        listUnfinished: () => [...state.unfinished.values()].map(work => describeUnfinished(state, work)),
        raiseMinVersion,
        waiting: () => state.queue.size(),
        running: () => state.attempts.size,
        stop: async () => {
            state.isStopped = true;
            cancelRound();
            cancelTick();
            state.attempts.forEach(attempt => runner.end(attempt, "stopped"));
            const timeout = new AbortController();
            await Promise.race([runner.settled(), clock.sleep(stopTimeoutMs, timeout.signal)]);
            timeout.abort();
        },
    };
}
