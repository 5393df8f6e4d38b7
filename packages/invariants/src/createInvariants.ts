import type { LogFields } from "@auburnarch/types/LogFields";
import type { Logger } from "@auburnarch/types/Logger";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { Invariants } from "./Invariants.js";

/** Creates the invariant checks of a process. `observe` updates the metric; tests may throw from it. */
export function createInvariants(
    logger: Logger,
    observe: (code: ResultCode, fields: LogFields) => void,
): Invariants {
    let violations = 0;
    return {
        check: (code, isSatisfied, fields) => {
            if (!isSatisfied) {
                violations++;
                logger.error("promiseBroken", { code: code.number, name: code.name, ...fields });
                observe(code, fields);
            }
            return isSatisfied;
        },
        violations: () => violations,
    };
}
