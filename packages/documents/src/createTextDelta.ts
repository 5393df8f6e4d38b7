import { hashText } from "./hashText.js";
import type { TextDelta } from "./TextDelta.js";

/** Computes the single range in which `next` differs from `base`. */
export function createTextDelta(base: string, next: string): TextDelta {
    const shorter = Math.min(base.length, next.length);
    let start = 0;
    while (start < shorter && base[start] === next[start]) {
        start++;
    }
    let tail = 0;
    while (tail < shorter - start && base[base.length - 1 - tail] === next[next.length - 1 - tail]) {
        tail++;
    }
    return {
        startChars: start,
        removedChars: base.length - tail - start,
        inserted: next.slice(start, next.length - tail),
        sha256: hashText(next),
    };
}
