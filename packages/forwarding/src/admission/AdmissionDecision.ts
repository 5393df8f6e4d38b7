import type { ForwardingOutcome } from "../ForwardingOutcome.js";
import type { AdmissionPermit } from "./AdmissionPermit.js";

/** Result of asking for admission. A refused request has not run and will not. */
export type AdmissionDecision =
    | { kind: "admitted"; permit: AdmissionPermit; }
    | { kind: "refused"; outcome: Extract<ForwardingOutcome, { kind: "failed"; }>; };
