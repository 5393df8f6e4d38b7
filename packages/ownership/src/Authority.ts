import type { ResultCode } from "@auburnarch/types/ResultCode";

/** An owner's right to act, judged anew before each effect. */
export interface Authority {
    /** Starting and delivering samples. */
    mayRun(): boolean;
    /** Accepting steps and weights. */
    mayAcceptIntent(): boolean;
    /** True while the object API is known not to answer. */
    isStoreUnreachable(): boolean;
    /** Tells of a fencing number seen outside; false, and the end of this owner, if it is newer than its own. */
    checkFencing(seen: number, source: string): boolean;
    /** The end of this owner, whatever the lease says. */
    stopPermanently(code: ResultCode, reason: string): void;
    /** Why the owner has ended; undefined while it has not. */
    stopCode(): ResultCode | undefined;
    /** Stops probing. */
    close(): void;
}
