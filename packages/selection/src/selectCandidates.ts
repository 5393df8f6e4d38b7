import type { Candidate } from "./Candidate.js";
import type { PickRequest } from "./PickRequest.js";
import { servedVersion } from "./servedVersion.js";

const isEligible = (candidate: Candidate, request: PickRequest): boolean => {
    const version = servedVersion(candidate.view, request.policy);
    return candidate.view.report.state === "ready" && version !== undefined && version >= request.minVersion;
};

const hasOtherSuspect = (candidate: Candidate, request: PickRequest): boolean =>
    candidate.view.report.suspects.some(suspect => suspect.digest !== request.digest);

/** Keeps the preferred ones if there are any, else all. */
const prefer = (candidates: Candidate[], isPreferred: (candidate: Candidate) => boolean): Candidate[] => {
    const preferred = candidates.filter(isPreferred);
    return preferred.length > 0 ? preferred : candidates;
};

/**
 * The candidates that are able to run the request, without those to be avoided as long as others are left.
 * Suspects of a death are kept off samplers that hold another suspect: if two of them ran together and the
 * engine died again, the innocent one would look guilty of two deaths and its content would be refused
 * everywhere. A bad signal cannot empty the list: suspicion and avoidance only ever narrow it.
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
