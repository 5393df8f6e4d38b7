import type { SampleId } from "@auburnarch/types/SampleId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { TextShelf } from "./TextShelf.js";

type KeptText = Parameters<TextShelf["keep"]>[1];

/** In characters; some thousand items, a tenth of the smallest VM's memory. The oldest go first. */
const maxKeptChars = 10_000_000;

const charsOf = ({ spans }: KeptText): number => spans.reduce((sum, span) => sum + span.text.length, 0);

interface TextShelfOptions {
    /** Texts that an earlier process was at work on. */
    earlier?: ReadonlyMap<string, TokenSpan[]>;
    /** Takes each text that is kept, so that a later process has it. */
    note?: (item: SampleId, spans: TokenSpan[]) => void;
}

/** Makes a shelf. */
export function createTextShelf({ earlier, note }: TextShelfOptions = {}): TextShelf {
    const texts = new Map<SampleId, KeptText>();
    let chars = 0;

    function drop(item: SampleId): void {
        const text = texts.get(item);
        if (text !== undefined) {
            chars -= charsOf(text);
            texts.delete(item);
        }
    }

    for (const [item, spans] of earlier ?? []) {
        const text = { spans, isWhole: false };
        texts.set(item as SampleId, text);
        chars += charsOf(text);
    }
    return {
        isLasting: note !== undefined,
        keep: (item, text) => {
            if (text.spans.length === 0) {
                return;
            }
            drop(item);
            texts.set(item, text);
            chars += charsOf(text);
            while (chars > maxKeptChars) {
                drop(texts.keys().next().value!);
            }
            note?.(item, text.spans);
        },
        find: (item, minVersion) => {
            const text = texts.get(item);
            return text?.spans.every(span => span.version >= minVersion) === true ? text : undefined;
        },
    };
}
