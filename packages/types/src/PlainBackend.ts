import type { AttemptOutcome } from "./AttemptOutcome.js";
import type { PlainAnswer } from "./PlainAnswer.js";
import type { PlainRequest } from "./PlainRequest.js";

/** A plain service behind a sidecar. Never rejects: transport errors are returned as outcomes. */
export type PlainBackend = (
    request: PlainRequest,
    signal: AbortSignal,
) => Promise<AttemptOutcome<PlainAnswer>>;
