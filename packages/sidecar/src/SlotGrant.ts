import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { Slot } from "./Slot.js";

/** Answer to a slot request. */
export type SlotGrant =
    | { kind: "granted"; slot: Slot; }
    | { kind: "refused"; code: ResultCode; };
