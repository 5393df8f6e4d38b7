import type { ResultCode } from "@auburnarch/types/ResultCode";

/** Outcome of an order, before the sidecar's report is added to it. */
export type OrderOutcome =
    | { kind: "done"; }
    | { kind: "refused"; code: ResultCode; }
    | { kind: "unknown"; code: ResultCode; };
