import { isWholeGroup } from "@auburnarch/verify/isWholeGroup";
import type { LedgerGuards } from "./LedgerGuards.js";

/** The checks as they run in production. */
export const defaultLedgerGuards: LedgerGuards = {
    isWholeGroup,
};
