import type { SampleTask } from "@auburnarch/types/SampleTask";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { countTokens } from "./countTokens.js";
import { createAttemptRunner } from "./createAttemptRunner.js";
import { createDispatchState } from "./createDispatchState.js";
import { createOutcomes } from "./createOutcomes.js";
import { createPlacement } from "./createPlacement.js";
import { createSendingRound } from "./createSendingRound.js";
import { defaultDispatchPolicy } from "./defaultDispatchPolicy.js";
import type { Dispatcher } from "./Dispatcher.js";
import type { DispatcherDeps } from "./DispatcherDeps.js";
import type { DispatchPolicy } from "./DispatchPolicy.js";
import { estimateWork } from "./estimateWork.js";
import { joinSpans } from "./joinSpans.js";
import { oldestStep } from "./oldestStep.js";
import type { Work } from "./Work.js";

/** Views change without notice, so waiting work is looked at this often even if nothing of ours ended. */
const tickMs = 100;
/** Estimates of waiting work are brought up to date this often. */
const refreshMs = 500;
/** A stop waits this long for cancelled attempts to end; a frozen VM never says so. */
const stopGraceMs = 1_000;

const createWork = (task: SampleTask, arrivalOrder: number, minVersion: WeightVersion): Work => ({
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

/** The longer of what is kept of ended attempts and what a running one has made. */
function longestText(work: Work | undefined): TokenSpan[] {
    let longest = work?.resume ?? [];
    for (const attempt of work?.running ?? []) {
        const spans = joinSpans(attempt.resumed, attempt.spans);
        longest = countTokens(spans) > countTokens(longest) ? spans : longest;
    }
    return longest;
}

const higher = (a: WeightVersion, b: WeightVersion): WeightVersion => a > b ? a : b;

/** Makes the dispatcher of one job under one fencing number; see `Dispatcher`. */
export function createDispatcher(
    deps: DispatcherDeps,
    policy: DispatchPolicy = defaultDispatchPolicy,
): Dispatcher {
    const { clock, logger } = deps;
    const state = createDispatchState(deps, policy);
    const placement = createPlacement(deps, state);
    const outcomes = createOutcomes(deps, state, () => runner, enqueue);
    const runner = createAttemptRunner(deps, state, (attempt, outcome) => {
        outcomes.take(attempt, outcome);
        requestPump();
    });
    const round = createSendingRound(deps, state, placement, runner);
    let oldestVersion = 0 as WeightVersion;
    let arrivals = 0;
    let refreshedAtMs = 0;
    let isPumpSet = false;
    let cancelPump = (): void => {};

    function enqueue(work: Work, delayMs: number): void {
        const nowMs = clock.monotonicMs();
        estimateWork(state, work, oldestStep(state), nowMs);
        work.notBeforeMs = nowMs + delayMs;
        state.queue.add(work);
        requestPump();
    }

    /** Many ends at one moment lead to one look at the queue. */
    function requestPump(): void {
        if (!isPumpSet && !state.isStopped) {
            isPumpSet = true;
            cancelPump = clock.startTimer(0, pump);
        }
    }

    function pump(): void {
        isPumpSet = false;
        if (!state.isStopped && (state.queue.size() > 0 || state.attempts.size > 0) && deps.mayAct()) {
            round.run();
        }
    }

    /** Lengths become known and need dates move while work waits. */
    function refreshIfDue(): void {
        const nowMs = clock.monotonicMs();
        if (nowMs - refreshedAtMs < refreshMs) {
            return;
        }
        refreshedAtMs = nowMs;
        const oldest = oldestStep(state);
        for (const work of state.queue.all()) {
            estimateWork(state, work, oldest, nowMs);
        }
        state.queue.resort();
    }

    function tick(): void {
        outcomes.giveUpStalled();
        if (state.queue.size() > 0) {
            refreshIfDue();
        }
        // Also where nothing waits: what runs last on a slow sampler is what the trainer stands still for.
        if (state.queue.size() > 0 || state.attempts.size > 0) {
            requestPump();
        }
        cancelTick = clock.startTimer(tickMs, tick);
    }

    function raiseMinVersion(published: WeightVersion, minVersion: WeightVersion): void {
        oldestVersion = higher(oldestVersion, minVersion);
        let stale = 0;
        for (const work of state.wanted.values()) {
            work.minVersion = higher(work.minVersion, oldestVersion);
            const isStale = (span: TokenSpan): boolean => span.version < work.minVersion;
            if (work.resume.some(isStale)) {
                work.resume = [];
            }
            for (const attempt of work.running) {
                if (attempt.resumed.some(isStale) || attempt.spans.some(isStale)) {
                    runner.end(attempt, "stale");
                    stale++;
                }
            }
        }
        logger.info("minVersionRaised", { published, minVersion, stale, waiting: state.queue.size() });
        requestPump();
    }

    let cancelTick = clock.startTimer(tickMs, tick);
    return {
        submit: tasks => {
            const fresh = tasks.filter(task => !state.isStopped && !state.wanted.has(task.sample));
            for (const task of fresh) {
                const work = createWork(task, arrivals++, higher(task.minVersion, oldestVersion));
                state.wanted.set(task.sample, work);
                state.needs.noteOpened(task.step, clock.monotonicMs());
                enqueue(work, 0);
            }
        },
        withdraw: samples => {
            for (const work of samples.flatMap(sample => state.wanted.get(sample) ?? [])) {
                state.wanted.delete(work.task.sample);
                state.queue.remove(work);
                work.running.forEach(attempt => runner.end(attempt, "withdrawn"));
            }
        },
        textOf: sample => longestText(state.wanted.get(sample)),
        raiseMinVersion,
        waiting: () => state.queue.size(),
        running: () => state.attempts.size,
        stop: async () => {
            state.isStopped = true;
            cancelPump();
            cancelTick();
            state.attempts.forEach(attempt => runner.end(attempt, "stopped"));
            const grace = new AbortController();
            await Promise.race([runner.settled(), clock.sleep(stopGraceMs, grace.signal)]);
            grace.abort();
        },
    };
}
