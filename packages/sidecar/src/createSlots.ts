import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createFairQueue } from "@auburnarch/queue/createFairQueue";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { choosePreemptionVictim } from "./choosePreemptionVictim.js";
import { createDrainWatch } from "./createDrainWatch.js";
import type { Slot } from "./Slot.js";
import type { SlotGrant } from "./SlotGrant.js";
import type { SlotRequest } from "./SlotRequest.js";
import type { Slots } from "./Slots.js";

interface SlotsDeps {
    clock: Clock;
    logger: Logger;
    limit: () => number;
    share: (team: string) => number;
    interactiveWaitMs: () => number;
    /** Whether waiting work may still start with this much of its budget left. */
    mayStart: (leftMs: number) => boolean;
}

interface SlotEntry extends SlotRequest {
    queuedAtMs: number;
    startedAtMs: number;
    preempted: boolean;
    /** Ends the wait: cancels its timers and returns the grant. */
    resolveGrant: ((grant: SlotGrant) => void) | undefined;
}

const interactivePriority = 100;

/**
 * Creates the slots. Interactive work goes first. If no slot is released within the interactive wait, the newest
 * running work of the lowest priority is cancelled and keeps the tokens generated so far, so that a rollout never
 * delays an interactive request by more than that wait. Work whose budget ends while it waits is refused and has not
 * run.
 */
export function createSlots(deps: SlotsDeps): Slots {
    const { clock } = deps;
    const queue = createFairQueue<SlotEntry>({ share: deps.share, nowMs: clock.monotonicMs });
    const runningEntries = new Set<SlotEntry>();
    const pausedPolicies = new Set<PolicyId>();
    const drainWatch = createDrainWatch();
    let isStarting = false;

    const mayRun = (entry: SlotEntry): boolean =>
        entry.policy === undefined || !pausedPolicies.has(entry.policy);

    function runningOf(policy: PolicyId): number {
        return [...runningEntries].filter(entry => entry.policy === policy).length;
    }

    function start(entry: SlotEntry): Slot {
        entry.startedAtMs = clock.monotonicMs();
        runningEntries.add(entry);
        return {
            waitedMs: entry.startedAtMs - entry.queuedAtMs,
            othersRunning: runningEntries.size - 1,
            release: engineMs => release(entry, engineMs),
        };
    }

    function release(entry: SlotEntry, engineMs: number): void {
        if (!runningEntries.delete(entry)) {
            return;
        }
        queue.settle(entry, engineMs);
        drainWatch.check();
        startWaiting();
    }

    function startNext(): boolean {
        const entry = runningEntries.size < deps.limit() ? queue.pop(mayRun) : undefined;
        if (entry === undefined) {
            return false;
        }
        const slot = start(entry);
        const leftMs = entry.budgetMs - slot.waitedMs;
        if (!deps.mayStart(leftMs)) {
            slot.release(0);
            entry.resolveGrant?.({ kind: "refused", code: resultCodes.deadlinePassed });
        }
        else {
            entry.resolveGrant?.({ kind: "granted", slot });
        }
        return true;
    }

    /** Not reentrant: a release during the loop is handled by the loop itself. */
    function startWaiting(): void {
        if (isStarting || queue.size() === 0) {
            return;
        }
        isStarting = true;
        while (startNext()) {
            // Continues until the limit is reached or nothing may run.
        }
        isStarting = false;
    }

    function refuse(entry: SlotEntry, code: ResultCode): void {
        if (queue.remove(entry)) {
            entry.resolveGrant?.({ kind: "refused", code });
        }
    }

    function preemptFor(entry: SlotEntry): void {
        const victim = choosePreemptionVictim(runningEntries, interactivePriority);
        if (victim !== undefined) {
            deps.logger.info("rolloutPreempted", {
                team: victim.team,
                priority: victim.priority,
                running: runningEntries.size,
                waitedMs: clock.monotonicMs() - entry.queuedAtMs,
                reason: "interactiveWait",
            });
            victim.preempted = true;
            victim.preempt!();
        }
    }

    function wait(entry: SlotEntry): Promise<SlotGrant> {
        return new Promise(resolve => {
            const withdrawRequest = (): void => refuse(entry, resultCodes.overloaded);
            const cancelBudgetTimer = clock.startTimer(
                entry.budgetMs,
                () => deps.mayStart(0) || refuse(entry, resultCodes.deadlinePassed),
            );
            const cancelPreemptTimer = entry.priority < interactivePriority
                ? () => {}
                : clock.startTimer(deps.interactiveWaitMs(), () => preemptFor(entry));
            entry.resolveGrant = grant => {
                cancelBudgetTimer();
                cancelPreemptTimer();
                entry.signal.removeEventListener("abort", withdrawRequest);
                resolve(grant);
            };
            entry.signal.addEventListener("abort", withdrawRequest, { once: true });
            queue.push(entry);
            startWaiting();
        });
    }

    function acquire(request: SlotRequest): Promise<SlotGrant> | SlotGrant {
        const entry: SlotEntry = {
            ...request,
            queuedAtMs: clock.monotonicMs(),
            startedAtMs: 0,
            preempted: false,
            resolveGrant: undefined,
        };
        if (request.signal.aborted) {
            return { kind: "refused", code: resultCodes.overloaded };
        }
        if (queue.size() === 0 && runningEntries.size < deps.limit() && mayRun(entry)) {
            queue.charge(entry);
            return { kind: "granted", slot: start(entry) };
        }
        return wait(entry);
    }

    return {
        acquire,
        running: () => runningEntries.size,
        runningOf,
        waiting: () => queue.size(),
        waitingOf: team => queue.waitingOf(team),
        pausePolicy: policy => void pausedPolicies.add(policy),
        resumePolicy: policy => {
            pausedPolicies.delete(policy);
            startWaiting();
        },
        startWaiting,
        refuseWaiting: (matches, code) => queue.items().filter(matches).forEach(entry => refuse(entry, code)),
        onDrained: (policy, run) => drainWatch.add(() => runningOf(policy) === 0, run),
        onIdle: run => drainWatch.add(() => runningEntries.size === 0, run),
        preemptAll: () => [...runningEntries].forEach(entry => entry.preempt?.()),
    };
}
