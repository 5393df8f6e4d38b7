import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import { countTokens } from "@auburnarch/dispatch/countTokens";
import { joinSpans } from "@auburnarch/dispatch/joinSpans";
import type { Clock } from "@auburnarch/types/Clock";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { TextCache } from "../items/TextCache.js";
import { copyLimits } from "./copyLimits.js";
import type { HeldCopies } from "./HeldCopies.js";
import { jsonBytes } from "./jsonBytes.js";
import type { OpenText } from "./OpenText.js";
import type { TextPart } from "./TextPart.js";

interface HeldCopiesDeps {
    copies: TextCache["copies"];
    entries: Pick<WatchedKind<BatchJobEntry>, "objects">;
    clock: Clock;
}

interface HeldBatchJob {
    usedAtMs: number;
    /** Source of each copy; undefined for one of an earlier process, whose source was not saved. */
    sources: Map<SampleId, string | undefined>;
}

const sweepIntervalMs = 1_000;
/** The sender of copies may know of a batch job some seconds earlier than this runner. */
const unknownRetentionMs = 10_000;

const countChars = (spans: readonly TokenSpan[]): number =>
    spans.reduce((sum, span) => sum + span.text.length, 0);

/** Creates the copies that a runner holds, beginning with those that its text cache has restored from disk. */
export function createHeldCopies({ copies, entries, clock }: HeldCopiesDeps): HeldCopies {
    const held = new Map<BatchJobId, HeldBatchJob>();

    function open(lot: BatchJobId): HeldBatchJob {
        const batchJob = held.get(lot) ?? { usedAtMs: 0, sources: new Map<SampleId, string | undefined>() };
        batchJob.usedAtMs = clock.monotonicMs();
        held.set(lot, batchJob);
        return batchJob;
    }

    function drop(lot: BatchJobId): void {
        [...held.get(lot)?.sources.keys() ?? []].forEach(item => copies.drop(lot, item));
        held.delete(lot);
    }

    function sweep(): void {
        const known = entries.objects();
        for (const [lot, { usedAtMs }] of held) {
            const entry = known?.get(lot);
            const isUnused = clock.monotonicMs() - usedAtMs > unknownRetentionMs;
            if (known !== undefined && (entry === undefined ? isUnused : entry.isEnded)) {
                drop(lot);
            }
        }
        cancelSweep = clock.startTimer(sweepIntervalMs, sweep);
    }

    /** Adds a part and returns the number of events that the copy has then. */
    function add(lot: BatchJobId, sources: HeldBatchJob["sources"], part: TextPart): number {
        const { item, source, fromEvent, spans, isComplete } = part;
        const known = sources.get(item) === source ? copies.find(lot, item)?.spans ?? [] : [];
        if (fromEvent !== 0 && countTokens(known) !== fromEvent) {
            return countTokens(known);
        }
        const text = { spans: fromEvent === 0 ? spans : joinSpans(known, spans), isComplete };
        if (countChars(text.spans) > copyLimits.maxMessageBytes) {
            return countTokens(known);
        }
        copies.put(lot, item, text);
        sources.set(item, source);
        return countTokens(text.spans);
    }

    function list(lot: BatchJobId): OpenText[] {
        return [...held.get(lot)?.sources.keys() ?? []].sort().flatMap(item => {
            const text = copies.find(lot, item);
            return text === undefined ? [] : [{ item, ...text }];
        });
    }

    copies.list().forEach(({ lot, item }) => open(lot).sources.set(item, undefined));
    let cancelSweep = clock.startTimer(sweepIntervalMs, sweep);
    return {
        store: ({ lot, items, isOver }) => {
            if (isOver === true) {
                drop(lot);
                return { events: {} };
            }
            const { sources } = open(lot);
            return { events: Object.fromEntries(items.map(part => [part.item, add(lot, sources, part)])) };
        },
        read: ({ lot, after }) => {
            const texts = list(lot).filter(({ item }) => after === undefined || item > after);
            let bytes = copyLimits.envelopeBytes;
            const count = texts.findIndex(text =>
                (bytes += jsonBytes(text) + 1) > copyLimits.maxMessageBytes
            );
            return count < 0 ? { texts } : { texts: texts.slice(0, Math.max(1, count)), hasMore: true };
        },
        list,
        stop: () => cancelSweep(),
    };
}
