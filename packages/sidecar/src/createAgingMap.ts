interface AgingMapOptions {
    nowMs: () => number;
    /** An entry is kept for at least this long, and at most twice as long. */
    memoryMs: number;
    /** Maximum number of entries, whatever their age. */
    capacity: number;
}

interface AgingMap<Key, Value> {
    get(key: Key): Value | undefined;
    set(key: Key, value: Value): void;
    size(): number;
    /** True while an entry may have been evicted before its time because the map was full. */
    mayHaveEvictedEarly(): boolean;
}

/**
 * Creates a map that expires entries by dropping its older half as a whole. If instead each insertion deleted the
 * oldest entry of one large map, finding that entry would mean skipping the slots of all entries deleted before it.
 */
export function createAgingMap<Key, Value>(options: AgingMapOptions): AgingMap<Key, Value> {
    const { nowMs, memoryMs } = options;
    const halfCapacity = Math.max(1, Math.floor(options.capacity / 2));
    let young = new Map<Key, Value>();
    let old = new Map<Key, Value>();
    let youngSinceMs = nowMs();
    let earlyEvictionUntilMs = Number.NEGATIVE_INFINITY;

    function rotate(): void {
        // The newest entry of the old half is as old as the whole young half.
        if (old.size > 0 && nowMs() - youngSinceMs < memoryMs) {
            earlyEvictionUntilMs = nowMs() + memoryMs;
        }
        old = young;
        young = new Map();
        youngSinceMs = nowMs();
    }

    return {
        get: key => young.get(key) ?? old.get(key),
        set: (key, value) => {
            if (young.size >= halfCapacity || nowMs() - youngSinceMs >= memoryMs) {
                rotate();
            }
            young.set(key, value);
        },
        size: () => young.size + old.size,
        mayHaveEvictedEarly: () => nowMs() < earlyEvictionUntilMs,
    };
}
