import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { Logger } from "@auburnarch/types/Logger";
import { createFailureDetector } from "./createFailureDetector.js";
import type { EntryView } from "./EntryView.js";
import type { Heartbeat } from "./Heartbeat.js";
import type { MembershipTiming } from "./MembershipTiming.js";

/** Other entries, with the newest heartbeat of each. */
interface EntryBook {
    /** Takes a heartbeat if it is newer; true if taken. */
    takeBeat(beat: Heartbeat): boolean;
    takeRecord(record: EntryRecord): void;
    beat(entry: EntryId): Heartbeat | undefined;
    beats(): Heartbeat[];
    record(entry: EntryId): EntryRecord | undefined;
    /** Entries that heartbeats name and whose record is not known. */
    withoutRecord(): EntryId[];
    unreachable(entry: EntryId): void;
    list(): EntryView[];
    prune(isListed: (record: EntryRecord) => boolean): void;
}

const isNewer = (beat: Heartbeat, known: Heartbeat): boolean =>
    beat.generation > known.generation
    || (beat.generation === known.generation && beat.counter > known.counter);

/** Makes the book of entries. */
export function createEntryBook(
    nowMs: () => number,
    timing: MembershipTiming,
    logger: Logger,
): EntryBook {
    const beats = new Map<EntryId, Heartbeat>();
    const records = new Map<EntryId, EntryRecord>();
    const suspectedBefore = new Set<EntryId>();
    /** Last beats of entries that were forgotten, so that old gossip does not bring them back. */
    const forgotten = new Map<EntryId, { beat: Heartbeat; atMs: number; }>();
    const detector = createFailureDetector(nowMs, timing);

    function takeBeat(beat: Heartbeat): boolean {
        const known = beats.get(beat.entry) ?? forgotten.get(beat.entry)?.beat;
        if (known !== undefined && !isNewer(beat, known)) {
            return false;
        }
        forgotten.delete(beat.entry);
        beats.set(beat.entry, beat);
        detector.heard(beat.entry);
        return true;
    }

    function takeRecord(record: EntryRecord): void {
        const known = records.get(record.entry);
        if (known?.address !== record.address || known.vm !== record.vm) {
            records.set(record.entry, record);
            logger.info("entrySeen", {
                entry: record.entry,
                address: record.address,
                failureDomain: record.failureDomain,
                known: records.size,
            });
        }
    }

    function logChange(entry: EntryId, suspected: boolean, reason: string, ageMs: number): void {
        if (suspectedBefore.has(entry) === suspected) {
            return;
        }
        const fields = { entry, reason, ageMs: Math.round(ageMs), known: records.size };
        if (suspected) {
            suspectedBefore.add(entry);
            logger.info("entrySuspected", fields);
        }
        else {
            suspectedBefore.delete(entry);
            logger.info("entryTrusted", fields);
        }
    }

    function list(): EntryView[] {
        const verdicts = detector.judge();
        const views: EntryView[] = [];
        for (const [entry, record] of records) {
            const verdict = verdicts.get(entry);
            const beat = beats.get(entry);
            if (verdict !== undefined && beat !== undefined) {
                const { ageMs, suspected, reason } = verdict;
                logChange(entry, suspected, reason, ageMs);
                views.push({ record, ageMs, suspected, leaving: beat.leaving });
            }
        }
        return views;
    }

    function prune(isListed: (record: EntryRecord) => boolean): void {
        for (const { record, ageMs } of list()) {
            if (ageMs <= timing.forgetMs || isListed(record)) {
                continue;
            }
            forgotten.set(record.entry, { beat: beats.get(record.entry)!, atMs: nowMs() });
            beats.delete(record.entry);
            records.delete(record.entry);
            suspectedBefore.delete(record.entry);
            detector.forget(record.entry);
            logger.info("entryForgotten", { entry: record.entry, ageMs: Math.round(ageMs) });
        }
        for (const [entry, { atMs }] of forgotten) {
            if (nowMs() - atMs > timing.forgetMs) {
                forgotten.delete(entry);
            }
        }
    }

    return {
        takeBeat,
        takeRecord,
        beat: entry => beats.get(entry),
        beats: () => [...beats.values()],
        record: entry => records.get(entry),
        withoutRecord: () => [...beats.keys()].filter(entry => !records.has(entry)),
        unreachable: entry => detector.unreachable(entry),
        list,
        prune,
    };
}
