import { resultCodes } from "@auburnarch/errors/resultCodes";
import { fencingOf } from "@auburnarch/lease/fencingOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { ActingState } from "./ActingState.js";
import type { Authority } from "./Authority.js";
import { mayTakeIntent } from "./mayTakeIntent.js";
import type { OwnerGuards } from "./OwnerGuards.js";

const probeEveryMs = 1_000;
const probeAnswerMs = 2_000;

interface AuthorityDeps {
    lease: Lease;
    store: ObjectStore;
    clock: Clock;
    logger: Logger;
    guards: OwnerGuards;
    /** Called once when the owner must not act any more. */
    onStopped: () => void;
    /** Called when the owner may run again after it might not. */
    onMayRunAgain: () => void;
}

/**
 * Makes the judge of an owner's right to act. While the lease is past its time it reads the lease object every
 * second: a higher number there ends the owner, silence lets it go on with fenced effects.
 */
export function createAuthority(deps: AuthorityDeps): Authority {
    const { lease, store, clock, logger, guards } = deps;
    const closed = new AbortController();
    let stopped: ResultCode | undefined;
    let isFencedOff = false;
    let silentSinceMs: number | undefined;

    const state = (): ActingState => ({
        isLeaseLost: lease.lost.aborted,
        isFencedOff,
        isLeaseHeld: lease.isHeld(),
        storeSilentAgeMs: silentSinceMs === undefined ? undefined : clock.monotonicMs() - silentSinceMs,
    });

    function stopForGood(code: ResultCode, reason: string): void {
        if (stopped !== undefined) {
            return;
        }
        stopped = code;
        closed.abort();
        logger.warn("ownerStopped", { code: code.number, name: code.name, reason, fencing: lease.fencing });
        deps.onStopped();
    }

    function noteFencing(seen: number, where: string): boolean {
        if (guards.isOwnNumberCurrent(seen, lease.fencing)) {
            return true;
        }
        isFencedOff = true;
        stopForGood(resultCodes.fenced, where);
        return false;
    }

    async function readLeaseNumber(): Promise<number> {
        const silence = clock.sleep(probeAnswerMs, closed.signal).then((): "silent" => "silent");
        const answer = await Promise.race([store.read(lease.key), silence]);
        if (answer === "silent") {
            throw new Error("no answer");
        }
        return fencingOf(answer);
    }

    async function probe(): Promise<void> {
        const sentAtMs = clock.monotonicMs();
        try {
            noteFencing(await readLeaseNumber(), "lease");
            silentSinceMs = undefined;
        }
        catch {
            // Counted from the sending: a process paused in the middle of a probe learns nothing from it.
            silentSinceMs = sentAtMs;
        }
    }

    async function probeWhilePastLease(): Promise<void> {
        let couldRun = true;
        while (!closed.signal.aborted) {
            if (lease.isHeld()) {
                silentSinceMs = undefined;
            }
            else {
                couldRun = couldRun && guards.mayRun(state());
                await probe();
            }
            const canRun = guards.mayRun(state());
            if (canRun && !couldRun) {
                deps.onMayRunAgain();
            }
            couldRun = canRun;
            await clock.sleep(probeEveryMs, closed.signal);
        }
    }

    lease.lost.addEventListener("abort", () => stopForGood(resultCodes.notOwner, "leaseLost"), {
        once: true,
    });
    void probeWhilePastLease();

    return {
        mayRun: () => stopped === undefined && guards.mayRun(state()),
        mayTakeIntent: () => stopped === undefined && mayTakeIntent(state()),
        isStoreSilent: () => silentSinceMs !== undefined,
        noteFencing,
        stopForGood,
        stoppedBy: () => stopped,
        close: () => closed.abort(),
    };
}
