/** A local copy of all objects of one kind, by name. */
export interface WatchedKind<T> {
    /** Undefined until the first list was answered. */
    objects(): ReadonlyMap<string, T> | undefined;
    /** Milliseconds since the store last confirmed the copy; infinite before the first list. */
    ageMs(): number;
    /** Calls `listener` after each change, and after the first list. The returned function ends it. */
    onChange(listener: () => void): () => void;
    stop(): void;
}
