import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { TextCache } from "./TextCache.js";

type CachedText = Parameters<TextCache["put"]>[1];

/** In characters: some thousand items, a tenth of the smallest VM's memory. The oldest texts are evicted first. */
const maxCachedChars = 10_000_000;
/** Keys of copies begin with this text; ids of batch jobs come from a header and contain no line feed. */
const copyPrefix = "copy\n";

const countChars = ({ spans }: CachedText): number => spans.reduce((sum, span) => sum + span.text.length, 0);

const copyKeyOf = (lot: BatchJobId, item: SampleId): string => `${copyPrefix}${lot}\n${item}`;

function parseCopyKey(key: string): { lot: BatchJobId; item: SampleId; } {
    const lotEnd = key.indexOf("\n", copyPrefix.length);
    return {
        lot: key.slice(copyPrefix.length, lotEnd) as BatchJobId,
        item: key.slice(lotEnd + 1) as SampleId,
    };
}

const isCopyKey = (key: string): boolean =>
    key.startsWith(copyPrefix) && key.includes("\n", copyPrefix.length);

interface TextCacheOptions {
    /** Unfinished texts of an earlier process. */
    restored?: ReadonlyMap<string, TokenSpan[]>;
    /** Receives each text that is added, so that a later process can restore it. */
    persist?: (key: string, spans: TokenSpan[]) => void;
}

/** Creates a text cache. */
export function createTextCache({ restored, persist }: TextCacheOptions = {}): TextCache {
    const texts = new Map<string, CachedText>();
    let chars = 0;

    function drop(key: string): void {
        const text = texts.get(key);
        if (text !== undefined) {
            chars -= countChars(text);
            texts.delete(key);
        }
    }

    function put(key: string, text: CachedText): void {
        if (text.spans.length === 0) {
            return;
        }
        drop(key);
        texts.set(key, text);
        chars += countChars(text);
        while (chars > maxCachedChars) {
            drop(texts.keys().next().value!);
        }
        persist?.(key, text.spans);
    }

    for (const [key, spans] of restored ?? []) {
        const text = { spans, isComplete: false };
        texts.set(key, text);
        chars += countChars(text);
    }
    return {
        isPersistent: persist !== undefined,
        put: (key, text) => {
            // Clients choose the ids of items; such an id must not replace the copy of another batch job's text.
            if (!isCopyKey(key)) {
                put(key, text);
            }
        },
        find: (key, minVersion) => {
            const text = isCopyKey(key) ? undefined : texts.get(key);
            return text?.spans.every(span => span.version >= minVersion) === true ? text : undefined;
        },
        copies: {
            put: (lot, item, text) => put(copyKeyOf(lot, item), text),
            find: (lot, item) => texts.get(copyKeyOf(lot, item)),
            drop: (lot, item) => drop(copyKeyOf(lot, item)),
            list: () => [...texts.keys()].filter(isCopyKey).map(parseCopyKey),
        },
    };
}
