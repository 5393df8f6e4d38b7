import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import { countTokens } from "@auburnarch/dispatch/countTokens";
import { continuesText } from "@auburnarch/persistence/continuesText";
import { textTail } from "@auburnarch/persistence/textTail";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import { copyLimits } from "./copyLimits.js";
import { jsonBytes } from "./jsonBytes.js";
import type { OpenText } from "./OpenText.js";
import type { PendingPart } from "./PendingPart.js";

/** A state of a text, at which a part of it may begin or end. */
interface TextOffset {
    events: number;
    chars: number;
    /** Size of the text up to here in a message. */
    bytes: number;
}

interface HolderState {
    offset: TextOffset;
    isComplete: boolean;
}

interface TrackedText {
    item: SampleId;
    source: string;
    spans: TokenSpan[];
    isComplete: boolean;
    /** Ascending; the last one is the end of the text. */
    offsets: TextOffset[];
    holders: Map<string, HolderState>;
}

interface TextTracker {
    /** Forgets all other items. */
    retain(items: readonly SampleId[]): void;
    /** Takes over the current text of an item. */
    update(text: OpenText): void;
    /** Parts that a holder lacks. `holder` changes when the holder is started again. */
    listPending(holder: string): PendingPart[];
}

const start: TextOffset = { events: 0, chars: 0, bytes: 0 };
/** A copy has to fit into the answer with which it is read. */
const maxTextBytes = copyLimits.maxMessageBytes - 4 * copyLimits.envelopeBytes;

const countChars = (spans: readonly TokenSpan[]): number =>
    spans.reduce((sum, span) => sum + span.text.length, 0);

/**
 * Tracks the texts of one batch job and what each holder has of them. `createSource` returns a new text at each call.
 */
export function createTextTracker(lot: BatchJobId, createSource: () => string): TextTracker {
    const tracked = new Map<SampleId, TrackedText>();

    function track(known: TrackedText | undefined, text: OpenText): TrackedText {
        const isContinued = known !== undefined && continuesText(known.spans, text.spans);
        const { item, isComplete } = text;
        const base: TrackedText = isContinued
            ? known
            : {
                item,
                source: createSource(),
                spans: [],
                isComplete: false,
                offsets: [start],
                holders: new Map(),
            };
        const last = base.offsets.at(-1)!;
        const events = countTokens(text.spans);
        if (events === last.events) {
            return { ...base, isComplete };
        }
        const added = textTail(text.spans, last.events, last.chars);
        const bytes = last.bytes + jsonBytes(added);
        // A text that is too long keeps its last state.
        return bytes > maxTextBytes ? base : {
            ...base,
            spans: text.spans,
            isComplete,
            offsets: [...base.offsets, { events, chars: countChars(text.spans), bytes }],
        };
    }

    function confirm(item: SampleId, sent: TrackedText, holder: string, events: number): void {
        const current = tracked.get(item);
        if (current?.source === sent.source) {
            const offset = sent.offsets.find(each => each.events === events) ?? start;
            const isComplete = sent.isComplete && offset === sent.offsets.at(-1);
            current.holders.set(holder, { offset, isComplete });
        }
    }

    function toPending(text: TrackedText, holder: string): PendingPart | undefined {
        const { item, source, spans, isComplete, offsets } = text;
        const state = text.holders.get(holder);
        const from = state?.offset ?? start;
        const end = offsets.at(-1)!;
        const isKnown = end.events === from.events && (!isComplete || state?.isComplete === true);
        return end.events === 0 || isKnown ? undefined : {
            lot,
            holder,
            events: end.events,
            bytes: end.bytes - from.bytes + jsonBytes([item, source]) + copyLimits.envelopeBytes,
            create: () => ({
                item,
                source,
                fromEvent: from.events,
                spans: textTail(spans, from.events, from.chars),
                isComplete,
            }),
            confirm: events => confirm(item, text, holder, events),
        };
    }

    return {
        retain: items => {
            const retained = new Set(items);
            [...tracked.keys()].filter(item => !retained.has(item)).forEach(item => tracked.delete(item));
        },
        update: text => void tracked.set(text.item, track(tracked.get(text.item), text)),
        listPending: holder =>
            [...tracked.values()].map(text => toPending(text, holder)).filter(part => part !== undefined),
    };
}
