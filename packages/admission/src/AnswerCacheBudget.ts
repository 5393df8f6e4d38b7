/** Bounds the bytes of answers remembered; the oldest are dropped first. */
export interface AnswerCacheBudget {
    /** Counts an answer; `drop` is called when it has to go. The function given back uncounts it. */
    add(bytes: number, evict: () => void): () => void;
    bytes(): number;
}
