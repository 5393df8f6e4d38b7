import type { SampleId } from "@auburnarch/types/SampleId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { TextCache } from "./TextCache.js";

type CachedText = Parameters<TextCache["put"]>[1];

/** In characters: some thousand items, a tenth of the smallest VM's memory. The oldest texts are evicted first. */
const maxCachedChars = 10_000_000;

const countChars = ({ spans }: CachedText): number => spans.reduce((sum, span) => sum + span.text.length, 0);

interface TextCacheOptions {
    /** Unfinished texts of an earlier process. */
    restored?: ReadonlyMap<string, TokenSpan[]>;
    /** Receives each text that is added, so that a later process can restore it. */
    persist?: (item: SampleId, spans: TokenSpan[]) => void;
}

/** Creates a text cache. */
export function createTextCache({ restored, persist }: TextCacheOptions = {}): TextCache {
    const texts = new Map<SampleId, CachedText>();
    let chars = 0;

    function drop(item: SampleId): void {
        const text = texts.get(item);
        if (text !== undefined) {
            chars -= countChars(text);
            texts.delete(item);
        }
    }

    for (const [item, spans] of restored ?? []) {
        const text = { spans, isComplete: false };
        texts.set(item as SampleId, text);
        chars += countChars(text);
    }
    return {
        isPersistent: persist !== undefined,
        put: (item, text) => {
            if (text.spans.length === 0) {
                return;
            }
            drop(item);
            texts.set(item, text);
            chars += countChars(text);
            while (chars > maxCachedChars) {
                drop(texts.keys().next().value!);
            }
            persist?.(item, text.spans);
        },
        find: (item, minVersion) => {
            const text = texts.get(item);
            return text?.spans.every(span => span.version >= minVersion) === true ? text : undefined;
        },
    };
}
