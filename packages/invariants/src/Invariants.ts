import type { LogFields } from "@auburnarch/types/LogFields";
import type { ResultCode } from "@auburnarch/types/ResultCode";

/** The promises, asserted where their effects happen. */
export interface Invariants {
    /** Returns `holds`; if false, the violation is counted, logged as an error and passed to the observer. */
    check(code: ResultCode, isSatisfied: boolean, fields: LogFields): boolean;
    /** Violations so far. */
    violations(): number;
}
