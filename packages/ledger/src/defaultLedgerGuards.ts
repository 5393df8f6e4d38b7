import { isWholeGroup } from "@auburnarch/validation/isWholeGroup";
import type { LedgerGuards } from "./LedgerGuards.js";

/** The checks as they run in production. */
export const defaultLedgerGuards: LedgerGuards = {
    isWholeGroup,
};
