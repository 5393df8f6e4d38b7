import type { AttemptOutcome } from "./AttemptOutcome.js";
import type { PlainAnswer } from "./PlainAnswer.js";
import type { PlainRequest } from "./PlainRequest.js";

/** A plain service behind a sidecar. Never rejects: transport faults become outcomes. */
export type PlainBackend = (
    request: PlainRequest,
    signal: AbortSignal,
) => Promise<AttemptOutcome<PlainAnswer>>;
