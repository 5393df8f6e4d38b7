import { resultCodes } from "@auburnarch/errors/resultCodes";
import { fencingOf } from "@auburnarch/lease/fencingOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { Lease } from "@auburnarch/types/Lease";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { Authority } from "./Authority.js";
import type { AuthorityState } from "./AuthorityState.js";
import { mayAcceptIntent } from "./mayAcceptIntent.js";
import type { OwnerGuards } from "./OwnerGuards.js";

const probeIntervalMs = 1_000;
const probeTimeoutMs = 2_000;

interface AuthorityDeps {
    lease: Lease;
    store: ObjectStore;
    clock: Clock;
    logger: Logger;
    guards: OwnerGuards;
    /** Called once when the owner is stopped. */
    onStopped: () => void;
    /** Called when `mayRun` becomes true again. */
    onMayRunAgain: () => void;
}

/**
 * Creates the authority of an owner. While the lease is expired it reads the lease object every second: a higher
 * fencing number there stops the owner; while reads go unanswered, the owner may go on with effects that are fenced
 * at their destination.
 */
export function createAuthority(deps: AuthorityDeps): Authority {
    const { lease, store, clock, logger, guards } = deps;
    const closed = new AbortController();
    let stopCode: ResultCode | undefined;
    let isFenced = false;
    let unansweredProbeSentAtMs: number | undefined;

    const currentState = (): AuthorityState => ({
        isLeaseLost: lease.lost.aborted,
        isFenced,
        isLeaseHeld: lease.isHeld(),
        unansweredProbeAgeMs: unansweredProbeSentAtMs === undefined
            ? undefined
            : clock.monotonicMs() - unansweredProbeSentAtMs,
    });

    function stopPermanently(code: ResultCode, reason: string): void {
        if (stopCode !== undefined) {
            return;
        }
        stopCode = code;
        closed.abort();
        logger.warn("ownerStopped", { code: code.number, name: code.name, reason, fencing: lease.fencing });
        deps.onStopped();
    }

    function checkFencing(seen: number, source: string): boolean {
        if (guards.isOwnNumberCurrent(seen, lease.fencing)) {
            return true;
        }
        isFenced = true;
        stopPermanently(resultCodes.fenced, source);
        return false;
    }

    async function readLeaseFencing(): Promise<number> {
        const timeout = clock.sleep(probeTimeoutMs, closed.signal).then((): "silent" => "silent");
        const answer = await Promise.race([store.read(lease.key), timeout]);
        if (answer === "silent") {
            throw new Error("reading the lease object timed out");
        }
        return fencingOf(answer);
    }

    async function probe(): Promise<void> {
        const sentAtMs = clock.monotonicMs();
        try {
            checkFencing(await readLeaseFencing(), "lease");
            unansweredProbeSentAtMs = undefined;
        }
        catch {
            // The age counts from the sending: a process that was paused during a probe must probe again.
            unansweredProbeSentAtMs = sentAtMs;
        }
    }

    async function probeWhileLeaseExpired(): Promise<void> {
        let couldRun = true;
        while (!closed.signal.aborted) {
            if (lease.isHeld()) {
                unansweredProbeSentAtMs = undefined;
            }
            else {
                couldRun = couldRun && guards.mayRun(currentState());
                await probe();
            }
            const canRun = guards.mayRun(currentState());
            if (canRun && !couldRun) {
                deps.onMayRunAgain();
            }
            couldRun = canRun;
            await clock.sleep(probeIntervalMs, closed.signal);
        }
    }

    lease.lost.addEventListener("abort", () => stopPermanently(resultCodes.notOwner, "leaseLost"), {
        once: true,
    });
    void probeWhileLeaseExpired();

    return {
        mayRun: () => stopCode === undefined && guards.mayRun(currentState()),
        mayAcceptIntent: () => stopCode === undefined && mayAcceptIntent(currentState()),
        isStoreUnreachable: () => unansweredProbeSentAtMs !== undefined,
        checkFencing,
        stopPermanently,
        stopCode: () => stopCode,
        close: () => closed.abort(),
    };
}
