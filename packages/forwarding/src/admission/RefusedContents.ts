import type { RoutedRequest } from "../RoutedRequest.js";

/** Requests that were refused and may return. */
export interface RefusedContents {
    /** Records a refusal; `firstRefusedAtMs` is the monotonic time of the first one of a request that had returned. */
    record(request: RoutedRequest, firstRefusedAtMs: number | undefined): void;
    /** Removes one refusal of an equal request of the same team and returns its time; undefined if there is none. */
    take(request: RoutedRequest): number | undefined;
}
