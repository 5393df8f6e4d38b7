import type { LogFields } from "@auburnarch/types/LogFields";
import type { ResultCode } from "@auburnarch/types/ResultCode";

/** Runtime checks of the system's guarantees, made at the points where their effects occur. */
export interface Invariants {
    /** Returns `isSatisfied`; if false, the violation is counted, logged as an error and passed to the observer. */
    check(code: ResultCode, isSatisfied: boolean, fields: LogFields): boolean;
    /** Number of violations so far. */
    violations(): number;
}
