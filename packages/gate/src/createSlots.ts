import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createFairQueue } from "@auburnarch/queue/createFairQueue";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { chooseVictim } from "./chooseVictim.js";
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

interface Place extends SlotRequest {
    queuedAtMs: number;
    startedAtMs: number;
    preempted: boolean;
    /** Ends the waiting: cancels its timers and answers. */
    answer: ((grant: SlotGrant) => void) | undefined;
}

const interactivePriority = 100;

/**
 * Makes the slots. Interactive work goes first; if no place frees within the interactive wait, the newest running
 * work of the lowest priority is cancelled, which keeps what it made, so that a rollout never delays a quote by
 * more than that wait. Work whose budget ends while it waits is refused and has not run.
 */
export function createSlots(deps: SlotsDeps): Slots {
    const { clock } = deps;
    const queue = createFairQueue<Place>({ share: deps.share, nowMs: clock.monotonicMs });
    const runningPlaces = new Set<Place>();
    const held = new Set<PolicyId>();
    const drains = createDrainWatch();
    let pumping = false;

    const mayRun = (place: Place): boolean => place.policy === undefined || !held.has(place.policy);

    function runningOf(policy: PolicyId): number {
        return [...runningPlaces].filter(place => place.policy === policy).length;
    }

    function start(place: Place): Slot {
        place.startedAtMs = clock.monotonicMs();
        runningPlaces.add(place);
        return {
            waitedMs: place.startedAtMs - place.queuedAtMs,
            runningBeside: runningPlaces.size - 1,
            release: engineMs => release(place, engineMs),
        };
    }

    function release(place: Place, engineMs: number): void {
        if (!runningPlaces.delete(place)) {
            return;
        }
        queue.settle(place, engineMs);
        drains.check();
        pump();
    }

    function startNext(): boolean {
        const place = runningPlaces.size < deps.limit() ? queue.pop(mayRun) : undefined;
        if (place === undefined) {
            return false;
        }
        const slot = start(place);
        const leftMs = place.budgetMs - slot.waitedMs;
        if (!deps.mayStart(leftMs)) {
            slot.release(0);
            place.answer?.({ kind: "refused", code: resultCodes.deadlinePassed });
        }
        else {
            place.answer?.({ kind: "granted", slot });
        }
        return true;
    }

    /** Not reentrant: a release while it pumps is seen by its own loop. */
    function pump(): void {
        if (pumping || queue.size() === 0) {
            return;
        }
        pumping = true;
        while (startNext()) {
            // Until the limit is reached or nothing may run.
        }
        pumping = false;
    }

    function refuse(place: Place, code: ResultCode): void {
        if (queue.remove(place)) {
            place.answer?.({ kind: "refused", code });
        }
    }

    function preemptFor(place: Place): void {
        const victim = chooseVictim(runningPlaces, interactivePriority);
        if (victim !== undefined) {
            deps.logger.info("rolloutPreempted", {
                team: victim.team,
                priority: victim.priority,
                running: runningPlaces.size,
                waitedMs: clock.monotonicMs() - place.queuedAtMs,
                reason: "interactiveWait",
            });
            victim.preempted = true;
            victim.preempt!();
        }
    }

    function wait(place: Place): Promise<SlotGrant> {
        return new Promise(resolve => {
            const withdraw = (): void => refuse(place, resultCodes.overloaded);
            const cancelBudget = clock.startTimer(
                place.budgetMs,
                () => deps.mayStart(0) || refuse(place, resultCodes.deadlinePassed),
            );
            const cancelPreempt = place.priority < interactivePriority
                ? () => {}
                : clock.startTimer(deps.interactiveWaitMs(), () => preemptFor(place));
            place.answer = grant => {
                cancelBudget();
                cancelPreempt();
                place.signal.removeEventListener("abort", withdraw);
                resolve(grant);
            };
            place.signal.addEventListener("abort", withdraw, { once: true });
            queue.push(place);
            pump();
        });
    }

    function acquire(request: SlotRequest): Promise<SlotGrant> | SlotGrant {
        const place: Place = {
            ...request,
            queuedAtMs: clock.monotonicMs(),
            startedAtMs: 0,
            preempted: false,
            answer: undefined,
        };
        if (request.signal.aborted) {
            return { kind: "refused", code: resultCodes.overloaded };
        }
        if (queue.size() === 0 && runningPlaces.size < deps.limit() && mayRun(place)) {
            queue.charge(place);
            return { kind: "granted", slot: start(place) };
        }
        return wait(place);
    }

    return {
        acquire,
        running: () => runningPlaces.size,
        runningOf,
        waiting: () => queue.size(),
        waitingOf: team => queue.waitingOf(team),
        hold: policy => void held.add(policy),
        resume: policy => {
            held.delete(policy);
            pump();
        },
        wake: pump,
        refuseWaiting: (matches, code) => queue.items().filter(matches).forEach(place => refuse(place, code)),
        onDrained: (policy, run) => drains.add(() => runningOf(policy) === 0, run),
        onIdle: run => drains.add(() => runningPlaces.size === 0, run),
        preemptAll: () => [...runningPlaces].forEach(place => place.preempt?.()),
    };
}
