/** A local copy of all objects of one kind, by name. */
export interface WatchedKind<T> {
    /** Undefined until the first list has arrived. */
    objects(): ReadonlyMap<string, T> | undefined;
    /** Milliseconds since the store last confirmed the copy; infinite before the first list. */
    ageMs(): number;
    /** Calls `listener` after each change and each full list. The returned function unsubscribes it. */
    onChange(listener: () => void): () => void;
    stop(): void;
}
