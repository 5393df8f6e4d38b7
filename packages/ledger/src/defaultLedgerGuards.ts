import { isWholeGroup } from "@auburnarch/validation/isWholeGroup";
import type { LedgerGuards } from "./LedgerGuards.js";

/** The checks used in production. */
export const defaultLedgerGuards: LedgerGuards = {
    isWholeGroup,
};
