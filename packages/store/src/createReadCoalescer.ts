/** Runs `read` for `key`, or joins a read of the same key that has not been sent yet. */
type CoalesceRead<T> = (key: string, read: () => Promise<T>) => Promise<T>;

interface KeyReads<T> {
    sent: Promise<unknown>;
    next: Promise<T> | undefined;
}

/**
 * Coalesces reads: per key at most one read is in progress and one waits for it. A read never joins one that was
 * already sent: that one may have seen the store before a write of this process took effect, so that a write whose
 * response was lost would be taken as not written.
 */
export function createReadCoalescer<T>(): CoalesceRead<T> {
    const reads = new Map<string, KeyReads<T>>();

    function start(key: string, read: () => Promise<T>): Promise<T> {
        const answer = read();
        const entry: KeyReads<T> = { sent: answer, next: undefined };
        reads.set(key, entry);
        const forget = (): void => {
            if (reads.get(key) === entry && entry.next === undefined) {
                reads.delete(key);
            }
        };
        answer.then(forget, forget);
        return answer;
    }

    async function startAfter(entry: KeyReads<T>, key: string, read: () => Promise<T>): Promise<T> {
        await entry.sent.catch(() => undefined);
        return start(key, read);
    }

    return (key, read) => {
        const entry = reads.get(key);
        if (entry === undefined) {
            return start(key, read);
        }
        entry.next ??= startAfter(entry, key, read);
        return entry.next;
    };
}
