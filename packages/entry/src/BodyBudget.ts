/** One request's share of the memory for request bodies. */
export interface BodyBudget {
    /** Throws `overloaded` if the bodies of all requests would exceed the limit. */
    reserve(bodyBytes: number): void;
    /** Returns everything that this request has reserved. */
    release(): void;
}
