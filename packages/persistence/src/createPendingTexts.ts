import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { countChars } from "./countChars.js";

/** Texts that wait for a write. */
interface PendingTexts {
    isEmpty(): boolean;
    put(item: string, spans: TokenSpan[]): void;
    /** Removes all texts and returns them. */
    takeAll(): [string, TokenSpan[]][];
}

/** Creates the pending texts. While a disk hangs, the oldest are dropped beyond `maxChars`. */
export function createPendingTexts(maxChars: number): PendingTexts {
    const pending = new Map<string, TokenSpan[]>();
    let chars = 0;

    function drop(item: string): void {
        chars -= countChars(pending.get(item) ?? []);
        pending.delete(item);
    }

    return {
        isEmpty: () => pending.size === 0,
        put: (item, spans) => {
            drop(item);
            pending.set(item, spans);
            chars += countChars(spans);
            while (chars > maxChars) {
                drop(pending.keys().next().value!);
            }
        },
        takeAll: () => {
            const texts = [...pending];
            pending.clear();
            chars = 0;
            return texts;
        },
    };
}
