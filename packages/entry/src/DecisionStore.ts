import type { Logger } from "@auburnarch/types/Logger";
import type { OperatorExplain } from "@auburnarch/types/OperatorExplain";

/** Stores the latest decisions, so that an operator can ask why a request or sample was sent where it was. */
export interface DecisionStore {
    /** Writes to the underlying logger and records events that name a sample, attempt, request or key. */
    logger: Logger;
    explain(id: string): OperatorExplain;
}
