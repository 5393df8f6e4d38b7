import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { Logger } from "@auburnarch/types/Logger";
import { createForgottenEntries } from "./createForgottenEntries.js";
import { createNews } from "./createNews.js";
import type { EntryBook } from "./EntryBook.js";
import type { EntryView } from "./EntryView.js";
import type { Heartbeat } from "./Heartbeat.js";
import type { MembershipTiming } from "./MembershipTiming.js";
import type { RecordRow } from "./RecordRow.js";
import { spareLastHeard } from "./spareLastHeard.js";

interface Row {
    beat: Heartbeat;
    record: EntryRecord | undefined;
    heardMs: number;
    suspectedMs: number;
}

/** Evidence younger than this outweighs a suspicion with a lower counter: that one was on its way meanwhile. */
const freshEvidenceMs = 3_000;

const isNewer = (beat: Heartbeat, known: Heartbeat): boolean =>
    beat.generation > known.generation
    || (beat.generation === known.generation && beat.counter > known.counter);

const toView = (record: EntryRecord, { beat, heardMs }: Row, nowMs: number): EntryView => ({
    record,
    ageMs: nowMs - heardMs,
    suspected: beat.suspected === true,
    leaving: beat.leaving === true,
});

const differs = (a: Heartbeat, b: Heartbeat): boolean =>
    a.generation !== b.generation || a.leaving !== b.leaving || a.suspected !== b.suspected;

function logTrust(logger: Logger, { entry, counter, suspected }: Heartbeat, silentMs: number): void {
    logger.info(suspected === true ? "entrySuspected" : "entryTrusted", {
        entry,
        counter,
        silentMs: Math.round(silentMs),
    });
}

/** Makes the book of entries. */
export function createEntryBook(
    nowMs: () => number,
    timing: MembershipTiming,
    logger: Logger,
): EntryBook {
    const rows = new Map<EntryId, Row>();
    const recordMissing = new Set<EntryId>();
    const forgotten = createForgottenEntries(nowMs, timing.forgetMs);
    const news = createNews();
    let revision = 0;

    function announce(row: Row): void {
        news.announce(row.beat.entry, rows.size);
        revision++;
    }

    function setBeat(row: Row, beat: Heartbeat): void {
        const before = row.beat;
        row.beat = beat;
        if (beat.suspected !== true) {
            row.heardMs = nowMs();
        }
        if (!differs(before, beat)) {
            return;
        }
        announce(row);
        if (before.generation !== beat.generation) {
            recordMissing.add(beat.entry);
        }
        if ((before.suspected === true) !== (beat.suspected === true)) {
            row.suspectedMs = nowMs();
            logTrust(logger, beat, nowMs() - row.heardMs);
        }
    }

    function addRow(beat: Heartbeat): void {
        const old = forgotten.lastBeat(beat.entry);
        if (old !== undefined && !isNewer(beat, old)) {
            return;
        }
        forgotten.forget(beat.entry);
        const row: Row = { beat, record: undefined, heardMs: nowMs(), suspectedMs: nowMs() };
        rows.set(beat.entry, row);
        recordMissing.add(beat.entry);
        announce(row);
    }

    function takeBeat(beat: Heartbeat): void {
        const row = rows.get(beat.entry);
        if (row === undefined) {
            addRow(beat);
        }
        else if (isNewer(beat, row.beat)) {
            setBeat(row, beat);
        }
        else if (beat.suspected === true && row.beat.suspected !== true) {
            takeSuspicion(row, beat);
        }
    }

    function takeSuspicion(row: Row, beat: Heartbeat): void {
        if (beat.generation !== row.beat.generation) {
            return;
        }
        const isSameEvidence = beat.counter === row.beat.counter;
        if (isSameEvidence || nowMs() - row.heardMs > freshEvidenceMs) {
            setBeat(row, { ...row.beat, suspected: true });
        }
        else {
            // It has shown life since: tell so, before the suspicion goes round.
            announce(row);
        }
    }

    function takeRecord({ record, generation }: RecordRow): void {
        const row = rows.get(record.entry);
        if (row === undefined || generation < row.beat.generation || !recordMissing.has(record.entry)) {
            return;
        }
        row.record = record;
        recordMissing.delete(record.entry);
        revision++;
        logger.info("entrySeen", { ...record, known: rows.size });
    }

    function getRecord(entry: EntryId): RecordRow | undefined {
        const row = rows.get(entry);
        return row?.record === undefined || recordMissing.has(entry)
            ? undefined
            : { record: row.record, generation: row.beat.generation };
    }

    function list(): EntryView[] {
        const views: EntryView[] = [];
        for (const row of rows.values()) {
            if (row.record !== undefined) {
                views.push(toView(row.record, row, nowMs()));
            }
        }
        return spareLastHeard(views, timing.maxSuspectedRatio);
    }

    function forget(entry: EntryId, row: Row): void {
        forgotten.note(row.beat);
        rows.delete(entry);
        recordMissing.delete(entry);
        revision++;
        const silentMs = Math.round(nowMs() - row.heardMs);
        logger.info("entryForgotten", { entry, silentMs, known: rows.size });
    }

    function prune(isListed: (record: EntryRecord) => boolean): void {
        for (const [entry, row] of rows) {
            const isGone = row.beat.suspected === true || row.record === undefined;
            const isOld = nowMs() - row.suspectedMs > timing.forgetMs;
            if (isGone && isOld && (row.record === undefined || !isListed(row.record))) {
                forget(entry, row);
            }
        }
        forgotten.prune();
    }

    return {
        takeBeat,
        takeRecord,
        suspect: entry => {
            const row = rows.get(entry);
            if (row !== undefined) {
                setBeat(row, { ...row.beat, suspected: true });
            }
        },
        beat: entry => rows.get(entry)?.beat,
        drawNews: count =>
            news.draw(count).map(entry => rows.get(entry)?.beat).filter(beat => beat !== undefined),
        beats: () => [...rows.values()].map(row => row.beat),
        record: getRecord,
        withoutRecord: count => [...recordMissing].slice(0, count),
        list,
        prune,
        revision: () => revision,
    };
}
