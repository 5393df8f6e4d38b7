import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { SamplerId } from "@auburnarch/types/SamplerId";

/** How a plain request ended for its caller. */
export interface PlainSendResult {
    outcome: AttemptOutcome<PlainAnswer>;
    /** Samplers tried, in order; the last one answered. */
    tried: SamplerId[];
}
