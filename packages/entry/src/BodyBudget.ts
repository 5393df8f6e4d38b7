/** What one request may take of the memory for bodies. */
export interface BodyBudget {
    /** Throws `overloaded` where all requests together would hold too much. */
    reserve(bodyBytes: number): void;
    /** Gives everything back that this request took. */
    release(): void;
}
