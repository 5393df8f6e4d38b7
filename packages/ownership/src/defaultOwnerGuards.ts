import { hasGroup } from "@auburnarch/cursors/hasGroup";
import { isGenuineCursor } from "@auburnarch/cursors/isGenuineCursor";
import { defaultLedgerGuards } from "@auburnarch/ledger/defaultLedgerGuards";
import { findSampleProblem } from "@auburnarch/validation/findSampleProblem";
import { isFresh } from "@auburnarch/validation/isFresh";
import { mayRun } from "./mayRun.js";
import type { OwnerGuards } from "./OwnerGuards.js";

/** The checks used in production. */
export const defaultOwnerGuards: OwnerGuards = {
    ...defaultLedgerGuards,
    mayRun,
    isOwnNumberCurrent: (seen, own) => seen <= own,
    isGenuineCursor,
    isUndelivered: (delivered, group) => !hasGroup(delivered, group),
    isFresh,
    findSampleProblem,
    // A trainer that misses an answer reads again; only identical bytes let it distinguish a repeat from new groups.
    repeatsPage: () => true,
    isHigherVersion: (version, current) => version > current,
};
