import { defaultLedgerGuards } from "@auburnarch/commit/defaultLedgerGuards";
import { hasGroup } from "@auburnarch/deliver/hasGroup";
import { isGenuineCursor } from "@auburnarch/deliver/isGenuineCursor";
import { findSampleProblem } from "@auburnarch/verify/findSampleProblem";
import { isFresh } from "@auburnarch/verify/isFresh";
import { mayRun } from "./mayRun.js";
import type { OwnerGuards } from "./OwnerGuards.js";

/** The checks as they run in production. */
export const defaultOwnerGuards: OwnerGuards = {
    ...defaultLedgerGuards,
    mayRun,
    isOwnNumberCurrent: (seen, own) => seen <= own,
    isGenuineCursor,
    isUndelivered: (delivered, group) => !hasGroup(delivered, group),
    isFresh,
    findSampleProblem,
    // A trainer whose answer was lost reads again; with other bytes it could not tell a repeat from new groups.
    repeatsPage: () => true,
    isHigherVersion: (version, current) => version > current,
};
