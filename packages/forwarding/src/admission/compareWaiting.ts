import type { WaitingRequest } from "./WaitingRequest.js";

const arrivalMs = ({ refusedAtMs, queuedAtMs }: WaitingRequest): number => refusedAtMs ?? queuedAtMs;
const isReturning = ({ refusedAtMs }: WaitingRequest): number => Number(refusedAtMs !== undefined);

/** Order of one team's requests, negative if `a` precedes `b`: by priority, returning ones first, then by arrival. */
export function compareWaiting(a: WaitingRequest, b: WaitingRequest): number {
    if (a.priority !== b.priority) {
        return a.priority > b.priority ? -1 : 1;
    }
    if (isReturning(a) !== isReturning(b)) {
        return isReturning(b) - isReturning(a);
    }
    if (a.routePriority !== b.routePriority) {
        return a.routePriority > b.routePriority ? -1 : 1;
    }
    return arrivalMs(a) - arrivalMs(b);
}
