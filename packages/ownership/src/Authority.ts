import type { ResultCode } from "@auburnarch/types/ResultCode";

/** Decides whether an owner may act; asked before each effect. */
export interface Authority {
    /** Whether samples may be started and delivered. */
    mayRun(): boolean;
    /** Whether new steps and weights may be accepted. */
    mayAcceptIntent(): boolean;
    /** True while the last probe of the object API is unanswered. */
    isStoreUnreachable(): boolean;
    /** Checks a fencing number received from outside; a higher one stops the owner and returns false. */
    checkFencing(seen: number, source: string): boolean;
    /** Stops this owner for good, whatever the state of the lease. */
    stopPermanently(code: ResultCode, reason: string): void;
    /** The code that the owner was stopped with; undefined while it is active. */
    stopCode(): ResultCode | undefined;
    /** Stops probing the lease object. */
    close(): void;
}
