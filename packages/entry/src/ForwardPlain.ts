import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { CallerRequest } from "./CallerRequest.js";

/** Forwards a request to the entry that owns the range of its key. Never rejects: errors become outcomes. */
export type ForwardPlain = (
    address: string,
    request: CallerRequest,
    signal: AbortSignal,
) => Promise<AttemptOutcome<PlainAnswer>>;
