import type { Logger } from "@auburnarch/types/Logger";
import type { OperatorExplain } from "@auburnarch/types/OperatorExplain";

/** Keeps the latest decisions, so that an operator can ask why something went where it did. */
export interface DecisionStore {
    /** Writes to the logger it was made from and keeps events that name a sample, attempt or request. */
    logger: Logger;
    explain(id: string): OperatorExplain;
}
