import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { Logger } from "@auburnarch/types/Logger";
import { createBroadcastQueue } from "./createBroadcastQueue.js";
import { createForgottenEntries } from "./createForgottenEntries.js";
import type { EntryRegistry } from "./EntryRegistry.js";
import type { EntryView } from "./EntryView.js";
import type { Heartbeat } from "./Heartbeat.js";
import { limitSuspected } from "./limitSuspected.js";
import type { MembershipTiming } from "./MembershipTiming.js";
import type { RecordRow } from "./RecordRow.js";

interface Row {
    beat: Heartbeat;
    record: EntryRecord | undefined;
    lastAliveAtMs: number;
    suspicionChangedAtMs: number;
}

/** A sign of life younger than this outweighs a suspicion with a lower counter, which may have been delayed. */
const freshEvidenceMs = 3_000;

const isNewer = (beat: Heartbeat, known: Heartbeat): boolean =>
    beat.generation > known.generation
    || (beat.generation === known.generation && beat.counter > known.counter);

const toView = (record: EntryRecord, { beat, lastAliveAtMs }: Row, nowMs: number): EntryView => ({
    record,
    ageMs: nowMs - lastAliveAtMs,
    suspected: beat.suspected === true,
    leaving: beat.leaving === true,
});

const isStateChange = (a: Heartbeat, b: Heartbeat): boolean =>
    a.generation !== b.generation || a.leaving !== b.leaving || a.suspected !== b.suspected;

function logSuspicionChange(
    logger: Logger,
    { entry, counter, suspected }: Heartbeat,
    silentMs: number,
): void {
    logger.info(suspected === true ? "entrySuspected" : "entryTrusted", {
        entry,
        counter,
        silentMs: Math.round(silentMs),
    });
}

/** Creates the registry of other entries. */
export function createEntryRegistry(
    nowMs: () => number,
    timing: MembershipTiming,
    logger: Logger,
): EntryRegistry {
    const rows = new Map<EntryId, Row>();
    const missingRecords = new Set<EntryId>();
    const forgotten = createForgottenEntries(nowMs, timing.forgetAfterMs);
    const broadcastQueue = createBroadcastQueue();
    let revision = 0;

    function announce(row: Row): void {
        broadcastQueue.enqueue(row.beat.entry, rows.size);
        revision++;
    }

    function setHeartbeat(row: Row, beat: Heartbeat): void {
        const before = row.beat;
        row.beat = beat;
        if (beat.suspected !== true) {
            row.lastAliveAtMs = nowMs();
        }
        if (!isStateChange(before, beat)) {
            return;
        }
        announce(row);
        if (before.generation !== beat.generation) {
            missingRecords.add(beat.entry);
        }
        if ((before.suspected === true) !== (beat.suspected === true)) {
            row.suspicionChangedAtMs = nowMs();
            logSuspicionChange(logger, beat, nowMs() - row.lastAliveAtMs);
        }
    }

    function addRow(beat: Heartbeat): void {
        const old = forgotten.lastHeartbeat(beat.entry);
        if (old !== undefined && !isNewer(beat, old)) {
            return;
        }
        forgotten.remove(beat.entry);
        const row: Row = { beat, record: undefined, lastAliveAtMs: nowMs(), suspicionChangedAtMs: nowMs() };
        rows.set(beat.entry, row);
        missingRecords.add(beat.entry);
        announce(row);
    }

    function applyHeartbeat(beat: Heartbeat): void {
        const row = rows.get(beat.entry);
        if (row === undefined) {
            addRow(beat);
        }
        else if (isNewer(beat, row.beat)) {
            setHeartbeat(row, beat);
        }
        else if (beat.suspected === true && row.beat.suspected !== true) {
            applySuspicion(row, beat);
        }
    }

    function applySuspicion(row: Row, beat: Heartbeat): void {
        if (beat.generation !== row.beat.generation) {
            return;
        }
        const isSameEvidence = beat.counter === row.beat.counter;
        if (isSameEvidence || nowMs() - row.lastAliveAtMs > freshEvidenceMs) {
            setHeartbeat(row, { ...row.beat, suspected: true });
        }
        else {
            // The entry has shown a later sign of life; gossip its heartbeat before the suspicion spreads.
            announce(row);
        }
    }

    function applyRecord({ record, generation }: RecordRow): void {
        const row = rows.get(record.entry);
        if (row === undefined || generation < row.beat.generation || !missingRecords.has(record.entry)) {
            return;
        }
        row.record = record;
        missingRecords.delete(record.entry);
        revision++;
        logger.info("entrySeen", { ...record, known: rows.size });
    }

    function getRecord(entry: EntryId): RecordRow | undefined {
        const row = rows.get(entry);
        return row?.record === undefined || missingRecords.has(entry)
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
        return limitSuspected(views, timing.maxSuspectedRatio);
    }

    function forget(entry: EntryId, row: Row): void {
        forgotten.add(row.beat);
        rows.delete(entry);
        missingRecords.delete(entry);
        revision++;
        const silentMs = Math.round(nowMs() - row.lastAliveAtMs);
        logger.info("entryForgotten", { entry, silentMs, known: rows.size });
    }

    function prune(isListed: (record: EntryRecord) => boolean): void {
        for (const [entry, row] of rows) {
            const isSuspectedOrUnknown = row.beat.suspected === true || row.record === undefined;
            const isOld = nowMs() - row.suspicionChangedAtMs > timing.forgetAfterMs;
            if (isSuspectedOrUnknown && isOld && (row.record === undefined || !isListed(row.record))) {
                forget(entry, row);
            }
        }
        forgotten.prune();
    }

    return {
        applyHeartbeat,
        applyRecord,
        suspect: entry => {
            const row = rows.get(entry);
            if (row !== undefined) {
                setHeartbeat(row, { ...row.beat, suspected: true });
            }
        },
        beat: entry => rows.get(entry)?.beat,
        nextBroadcasts: count =>
            broadcastQueue.next(count).map(entry => rows.get(entry)?.beat).filter(beat => beat !== undefined),
        beats: () => [...rows.values()].map(row => row.beat),
        record: getRecord,
        listWithoutRecord: count => [...missingRecords].slice(0, count),
        list,
        prune,
        revision: () => revision,
    };
}
