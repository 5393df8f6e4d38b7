import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { CallerRequest } from "./CallerRequest.js";

/** Passes a request on to the entry that owns its key's range. Never rejects: faults become outcomes. */
export type ForwardPlain = (
    address: string,
    request: CallerRequest,
    signal: AbortSignal,
) => Promise<AttemptOutcome<PlainAnswer>>;
