import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { SamplerId } from "@auburnarch/types/SamplerId";

/** Result of a plain request as its caller sees it. */
export interface PlainSendResult {
    outcome: AttemptOutcome<PlainAnswer>;
    /** Samplers tried, in order; the last one gave the outcome. */
    tried: SamplerId[];
}
