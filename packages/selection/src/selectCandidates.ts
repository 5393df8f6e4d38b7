import type { Candidate } from "./Candidate.js";
import type { PickRequest } from "./PickRequest.js";
import { servedVersion } from "./servedVersion.js";

const isEligible = (candidate: Candidate, request: PickRequest): boolean => {
    const version = servedVersion(candidate.view, request.policy);
    return candidate.view.report.state === "ready" && version !== undefined && version >= request.minVersion;
};

const hasOtherSuspect = (candidate: Candidate, request: PickRequest): boolean =>
    candidate.view.report.suspects.some(suspect => suspect.digest !== request.digest);

/** Returns the preferred candidates if there are any, else all. */
const prefer = (candidates: Candidate[], isPreferred: (candidate: Candidate) => boolean): Candidate[] => {
    const preferred = candidates.filter(isPreferred);
    return preferred.length > 0 ? preferred : candidates;
};

/**
 * Selects the candidates that can run the request, without those to avoid as long as others are left. A suspect of
 * an engine crash is not sent to a sampler that runs another suspect: if the engine crashed again, the harmless one
 * would be linked to two crashes and its content refused everywhere. Suspicion and avoidance narrow the selection
 * but never empty it, so a wrong signal can't block all samplers.
 */
export function selectCandidates(candidates: Candidate[], request: PickRequest): Candidate[] {
    let eligible = candidates.filter(candidate => isEligible(candidate, request));
    eligible = prefer(eligible, candidate => !candidate.view.suspected);
    if (request.avoid.size > 0) {
        eligible = prefer(eligible, candidate => !request.avoid.has(candidate.view.report.sampler));
    }
    if (request.suspect) {
        eligible = prefer(eligible, candidate => !hasOtherSuspect(candidate, request));
    }
    return eligible;
}
