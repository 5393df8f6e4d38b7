import type { ResultCode } from "./ResultCode.js";

/**
 * The possible outcomes of an attempt. `notRun` is reported only with proof; `unknown` covers everything else that is
 * not a received answer, and a non-idempotent request is never repeated after it.
 */
export type AttemptOutcome<Answer> =
    | { kind: "ran"; answer: Answer; }
    | { kind: "notRun"; code: ResultCode; retryAfterMs: number | undefined; }
    | { kind: "unknown"; code: ResultCode; };
