import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { Slot } from "./Slot.js";

/** Result of a slot request. */
export type SlotGrant =
    | { kind: "granted"; slot: Slot; }
    | { kind: "refused"; code: ResultCode; };
