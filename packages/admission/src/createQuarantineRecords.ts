import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { TrialId } from "@auburnarch/types/TrialId";
import { isConvicted } from "./isConvicted.js";
import { mergeRecords } from "./mergeRecords.js";
import type { QuarantineDeps } from "./QuarantineDeps.js";
import type { ReportedCrash } from "./ReportedCrash.js";
import { trialDueAtMs } from "./trialDueAtMs.js";
import type { TrialKind } from "./TrialKind.js";

interface QuarantineRecords {
    /** Merges records; true if any of them contained something new. */
    merge(offered: QuarantineRecord[]): boolean;
    /** Records of a crash for the digests for which it is not recorded yet. */
    newRecordsOf(crash: ReportedCrash): QuarantineRecord[];
    /** The record with its crashes so far cleared; undefined if there is none. */
    liftedRecord(digest: ContentDigest): QuarantineRecord | undefined;
    isSuspect(digest: ContentDigest): boolean;
    isRefused(digest: ContentDigest): boolean;
    /** Wall time from which a refused content may have another trial. */
    trialDueAtMs(digest: ContentDigest, kind: TrialKind): number;
    /** The record with one more trial, started now. */
    withTrial(digest: ContentDigest, trial: TrialId): QuarantineRecord;
    /** Whether the trial is in the shared list, and thus known to all entries. */
    hasTrial(digest: ContentDigest, trial: TrialId): boolean;
    list(): QuarantineRecord[];
}

const defaultExpiresAfterMs = 24 * 3_600_000;
const defaultMaxRecords = 1_000;
const maxCrashesPerVm = 16;

/** Creates the in-memory records of a quarantine, bounded in number and with expiry. */
export function createQuarantineRecords(deps: QuarantineDeps): QuarantineRecords {
    const { clock, logger, maxRecords = defaultMaxRecords, expiresAfterMs = defaultExpiresAfterMs } = deps;
    const records = new Map<ContentDigest, QuarantineRecord>();
    const isConvictedNow = (record: QuarantineRecord): boolean =>
        (deps.isConvicted ?? isConvicted)(record, clock.wallMs(), [...records.values()]);

    const isLive = (record: QuarantineRecord): boolean => record.expiresAtMs > clock.wallMs();
    const list = (): QuarantineRecord[] => [...records.values()].filter(isLive);

    /** Removes expired records and, beyond the limit, the suspects that expire next. */
    function prune(): void {
        [...records.values()].filter(record => !isLive(record)).forEach(({ digest }) =>
            records.delete(digest)
        );
        const surplus = records.size - maxRecords;
        if (surplus > 0) {
            const suspects = list().filter(record => !isConvictedNow(record));
            suspects.sort((a, b) => a.expiresAtMs - b.expiresAtMs);
            suspects.slice(0, surplus).forEach(({ digest }) => records.delete(digest));
        }
    }

    function logChange(before: QuarantineRecord | undefined, after: QuarantineRecord): void {
        const wasQuarantined = before !== undefined && isConvictedNow(before);
        const isQuarantined = isConvictedNow(after);
        if (wasQuarantined !== isQuarantined) {
            const vms = new Set(after.deaths.map(crash => crash.vm)).size;
            logger.warn(isQuarantined ? "contentQuarantined" : "contentReleased", {
                digest: after.digest,
                vms,
            });
        }
    }

    function mergeOne(record: QuarantineRecord): boolean {
        const known = records.get(record.digest);
        const [merged] = mergeRecords(known === undefined ? [] : [known], [record]);
        if (JSON.stringify(merged) === JSON.stringify(known)) {
            return false;
        }
        records.set(record.digest, merged!);
        logChange(known, merged!);
        return true;
    }

    /** Whether a crash adds nothing: it is already recorded, or its VM already has the maximum. */
    function isRecorded(digest: ContentDigest, vm: string, bootId: string): boolean {
        const crashes = (records.get(digest)?.deaths ?? []).filter(crash => crash.vm === vm);
        return crashes.length >= maxCrashesPerVm || crashes.some(crash => crash.bootId === bootId);
    }

    return {
        merge: offered => {
            const changed = offered.filter(isLive).map(mergeOne);
            prune();
            return changed.includes(true);
        },
        newRecordsOf: ({ vm, bootId, contents, digests }) => {
            // A repeated report must neither extend a record's expiry nor cause a write.
            const atMs = clock.wallMs();
            const newRecords = digests.filter(digest => !isRecorded(digest, vm, bootId)).map(digest => ({
                digest,
                deaths: [{ vm, bootId, atMs, ...(contents === undefined ? {} : { contents }) }],
                expiresAtMs: atMs + expiresAfterMs,
                liftedAtMs: undefined,
            }));
            return newRecords as QuarantineRecord[];
        },
        liftedRecord: digest => {
            const record = records.get(digest);
            if (record === undefined) {
                return undefined;
            }
            // Clocks differ, so crashes and trials recorded by an entry whose clock is ahead are cleared as well.
            const recordedAtMs = [...record.deaths, ...record.trials ?? []].map(each => each.atMs);
            const liftedAtMs = Math.max(clock.wallMs(), ...recordedAtMs);
            return { ...record, liftedAtMs };
        },
        isSuspect: digest => {
            const record = records.get(digest);
            const liftedAtMs = record?.liftedAtMs ?? Number.NEGATIVE_INFINITY;
            return record !== undefined && isLive(record)
                && record.deaths.some(crash => crash.atMs > liftedAtMs);
        },
        isRefused: digest => {
            const record = records.get(digest);
            return record !== undefined && isConvictedNow(record);
        },
        trialDueAtMs: (digest, kind) => {
            const record = records.get(digest);
            return record === undefined
                ? 0
                : trialDueAtMs(record, [...records.values()], clock.wallMs(), kind);
        },
        withTrial: (digest, trial) => {
            const record = records.get(digest)!;
            return { ...record, trials: [...record.trials ?? [], { trial, atMs: clock.wallMs() }] };
        },
        hasTrial: (digest, trial) => records.get(digest)?.trials?.some(each => each.trial === trial) === true,
        list,
    };
}
