import type { ResultsPage } from "@auburnarch/batches/ResultsPage";
import type { ResultCode } from "@auburnarch/types/ResultCode";

/** The answer to a client's call. */
export type ClientAnswer =
    | { kind: "relayed"; status: number; headers: Record<string, string>; body: AsyncIterable<Uint8Array>; }
    | { kind: "lotAccepted"; }
    | { kind: "lotPage"; page: ResultsPage; }
    | { kind: "lotItem"; body: Uint8Array; }
    | { kind: "lotEnded"; }
    | { kind: "failed"; code: ResultCode; detail: string; retryAfterMs: number | undefined; };
