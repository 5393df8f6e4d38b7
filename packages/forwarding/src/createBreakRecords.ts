import { countedCrashes } from "@auburnarch/admission/countedCrashes";
import { mergeRecords } from "@auburnarch/admission/mergeRecords";
import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";

/** A record of a quarantine, but its times are monotonic times of this process. */
interface BreakRecord extends QuarantineRecord {
    /** Process whose report last changed the breaks that count; undefined if this process saw it itself. */
    reporter: string | undefined;
}

interface BreakRecords {
    /** Age at which breaks and completions are forgotten. */
    retentionMs: number;
    /** The record of a content; undefined if none or an expired one. */
    find(content: ContentDigest): BreakRecord | undefined;
    /** Breaks of a content that count, since it was last completed. */
    breaksOf(content: ContentDigest): QuarantineRecord["deaths"];
    /**
     * Merges breaks, and the time of a completion, into the record of a content. True if the breaks that count changed.
     */
    merge(
        content: ContentDigest,
        breaks: QuarantineRecord["deaths"],
        completedAtMs: number | undefined,
        reporter: string | undefined,
    ): boolean;
    isEmpty(): boolean;
    /** Records that have not expired, the latest changed first. */
    list(): BreakRecord[];
}

const maxContents = 1_024;
/** Maximum of breaks recorded for one content; the pause no longer grows long before. */
const maxBreaksPerContent = 16;
/** Equal to the longest pause. */
const retentionMs = 3_600_000;

const latestAtMs = ({ deaths, liftedAtMs }: QuarantineRecord): number =>
    Math.max(liftedAtMs ?? -Infinity, ...deaths.map(each => each.atMs));

/** Limits the number of breaks, and derives the expiry from what remains. */
function bound(record: QuarantineRecord): QuarantineRecord {
    const deaths = [...record.deaths].sort((a, b) => a.atMs - b.atMs).slice(-maxBreaksPerContent);
    const bounded = { ...record, deaths };
    return { ...bounded, expiresAtMs: latestAtMs(bounded) + retentionMs };
}

/**
 * Creates the records of one process. They are merged and counted like those of the quarantine: a break is named by the
 * start of the sampler and counts once, at the earliest time reported, unless the content completed later.
 */
export function createBreakRecords(clock: Clock): BreakRecords {
    /** Ordered by their last change, the latest last. */
    const records = new Map<ContentDigest, BreakRecord>();

    const breaksIn = (record: QuarantineRecord | undefined): QuarantineRecord["deaths"] =>
        record === undefined ? [] : countedCrashes(record, clock.monotonicMs());

    function find(content: ContentDigest): BreakRecord | undefined {
        const record = records.get(content);
        if (record !== undefined && record.expiresAtMs <= clock.monotonicMs()) {
            records.delete(content);
            return undefined;
        }
        return record;
    }

    /** Contents with at most one break are evicted first, then those that changed least recently. */
    function evict(): void {
        const [oldest] = records.keys();
        const unsuspected = [...records.values()].find(record => breaksIn(record).length <= 1);
        records.delete(unsuspected?.digest ?? oldest!);
    }

    function set(record: BreakRecord): void {
        records.delete(record.digest);
        if (records.size >= maxContents) {
            evict();
        }
        records.set(record.digest, record);
    }

    return {
        retentionMs,
        find,
        breaksOf: content => breaksIn(find(content)),
        merge: (content, deaths, completedAtMs, reporter) => {
            const known = find(content);
            const before = new Set(breaksIn(known).map(each => each.bootId));
            const added = { digest: content, deaths, expiresAtMs: Infinity, liftedAtMs: completedAtMs };
            const [merged] = mergeRecords(known === undefined ? [] : [known], [added]).map(bound);
            const after = breaksIn(merged);
            const isChanged = before.size !== after.length || after.some(each => !before.has(each.bootId));
            if (isChanged || known === undefined) {
                set({ ...merged!, reporter });
            }
            else {
                // The times may have become more exact; the order of the latest changes remains.
                Object.assign(known, merged);
            }
            return isChanged;
        },
        isEmpty: () => records.size === 0,
        list: () => [...records.keys()].reverse().flatMap(content => find(content) ?? []),
    };
}
