import type { AnswerMemory } from "./AnswerMemory.js";

interface Held {
    bytes: number;
    drop: () => void;
}

const defaultMaxBytes = 32_000_000;

/** Makes the memory of answers shared by the key ranges of an entry. */
export function createAnswerMemory(maxBytes = defaultMaxBytes): AnswerMemory {
    const held = new Set<Held>();
    let total = 0;

    function remove(entry: Held): boolean {
        const present = held.delete(entry);
        total -= present ? entry.bytes : 0;
        return present;
    }

    return {
        add: (bytes, drop) => {
            const entry = { bytes, drop };
            held.add(entry);
            total += bytes;
            for (const oldest of held) {
                if (total <= maxBytes) {
                    break;
                }
                remove(oldest);
                oldest.drop();
            }
            return () => void remove(entry);
        },
        bytes: () => total,
    };
}
