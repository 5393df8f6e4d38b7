/** Bounds the total size of cached answers; the oldest are evicted first. */
export interface AnswerCacheBudget {
    /** Counts an answer; `evict` is called when it must be removed. The returned function stops counting it. */
    add(bytes: number, evict: () => void): () => void;
    bytes(): number;
}
