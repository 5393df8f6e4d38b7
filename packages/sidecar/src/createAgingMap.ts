interface AgingMapOptions {
    nowMs: () => number;
    /** An entry is kept for at least this long, and at most twice as long. */
    memoryMs: number;
    /** Entries kept at most, whatever their age. */
    capacity: number;
}

interface AgingMap<Key, Value> {
    get(key: Key): Value | undefined;
    set(key: Key, value: Value): void;
    size(): number;
    /** True while an entry may have been forgotten before its time, for lack of room. */
    mayHaveEvictedEarly(): boolean;
}

/**
 * Makes a map that forgets by dropping its older half as a whole. Taking the oldest entry out of one large map
 * instead makes each insertion step over the holes that earlier ones left.
 */
export function createAgingMap<Key, Value>(options: AgingMapOptions): AgingMap<Key, Value> {
    const { nowMs, memoryMs } = options;
    const halfCapacity = Math.max(1, Math.floor(options.capacity / 2));
    let young = new Map<Key, Value>();
    let old = new Map<Key, Value>();
    let youngSinceMs = nowMs();
    let earlyEvictionUntilMs = Number.NEGATIVE_INFINITY;

    function rotate(): void {
        // The youngest of the old half is as old as the young half.
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
