import type { AnswerCacheBudget } from "./AnswerCacheBudget.js";

interface CountedAnswer {
    bytes: number;
    evict: () => void;
}

const defaultMaxBytes = 32_000_000;

/** Creates the size limit for cached answers, shared by the key ranges of an entry. */
export function createAnswerCacheBudget(maxBytes = defaultMaxBytes): AnswerCacheBudget {
    const entries = new Set<CountedAnswer>();
    let totalBytes = 0;

    function remove(entry: CountedAnswer): boolean {
        const present = entries.delete(entry);
        totalBytes -= present ? entry.bytes : 0;
        return present;
    }

    return {
        add: (bytes, evict) => {
            const entry = { bytes, evict };
            entries.add(entry);
            totalBytes += bytes;
            for (const oldest of entries) {
                if (totalBytes <= maxBytes) {
                    break;
                }
                remove(oldest);
                oldest.evict();
            }
            return () => void remove(entry);
        },
        bytes: () => totalBytes,
    };
}
