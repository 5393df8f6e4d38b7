import { rankByRendezvous } from "@auburnarch/membership/rankByRendezvous";
import { answersPromptly } from "./answersPromptly.js";
import { isStoreDoubtful } from "./isStoreDoubtful.js";
import type { RelayCandidate } from "./RelayCandidate.js";

/** Reports are requested every 400 ms; an older one no longer shows that the store answers the runner. */
const maxReportAgeMs = 1_000;

const canRelay = ({ reach, isLeaving, reportAgeMs, isExcluded }: RelayCandidate): boolean =>
    reach !== undefined && !isStoreDoubtful(reach) && !isLeaving && !isExcluded
    && reportAgeMs < maxReportAgeMs;

/**
 * Chooses the runner that relays store calls: the current one while it can, otherwise the first in an order that differs
 * from process to process. Undefined while no runner reports that the store answers it.
 */
export function chooseStoreRelay(
    self: string,
    current: string | undefined,
    candidates: RelayCandidate[],
): string | undefined {
    const usable = candidates.filter(candidate => canRelay(candidate) && candidate.name !== self);
    if (usable.some(({ name }) => name === current)) {
        return current;
    }
    const prompt = usable.filter(answersPromptly);
    return rankByRendezvous(self, prompt.length > 0 ? prompt : usable, ({ name }) => name)[0]?.name;
}
