import { pauseAfterBreaks } from "@auburnarch/transport/pauseAfterBreaks";
import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { z } from "zod";
import type { BreakRegistry } from "./BreakRegistry.js";
import type { BreakReport } from "./BreakReport.js";
import { trialRecordSchema } from "./trialRecordSchema.js";

type TrialRecord = z.infer<typeof trialRecordSchema>;

interface TrialRecords {
    /** The value to store: all breaks that are known here, and a trial that starts now. */
    create(content: ContentDigest, trial: TrialRecord["trial"]): TrialRecord;
    /** The value that adds all breaks known here to a record, if there is one; undefined if it has them. */
    extend(content: ContentDigest, object: StoredObject | undefined): TrialRecord | undefined;
    /** Merges the stored breaks into the registry, and returns the pause that the stored trial requires. */
    merge(content: ContentDigest, object: StoredObject | undefined): number;
    /** Id of the trial that a stored record names. */
    trialIdOf(object: StoredObject | undefined): string | undefined;
    /** Whether a stored record has expired. */
    isOld(object: StoredObject): boolean;
}

/** A record without a later break or trial is removed after this time. */
const retentionMs = 3_600_000;
/** Stored times further in the future come from a clock that was wrong. */
const maxClockAheadMs = 5_000;

const parseRecord = (object: StoredObject | undefined): TrialRecord =>
    trialRecordSchema.safeParse(object?.value).data ?? { breaks: [] };

/** Creates the conversion between a registry and the records in the store. */
export function createTrialRecords(breaks: BreakRegistry, clock: Clock): TrialRecords {
    const ageOf = (atMs: number): number => {
        const ageMs = clock.wallMs() - atMs;
        return ageMs < -maxClockAheadMs ? Infinity : Math.max(0, ageMs);
    };

    /** Breaks that are known here and not in a stored record. */
    const listUnstored = (content: ContentDigest, { breaks: stored }: TrialRecord): BreakReport["breaks"] =>
        (breaks.reportOf(content)?.breaks ?? []).filter(({ sampler }) =>
            !stored.some(each => each.sampler === sampler)
        );

    /** The trial of a record, unless a break since its start has shown how it ended. */
    function findUnreported(content: ContentDigest, record: TrialRecord): TrialRecord["trial"] {
        const { trial } = record;
        const isReported = trial !== undefined
            && listUnstored(content, record).some(({ ageMs }) => ageMs <= ageOf(trial.atMs));
        return isReported ? undefined : trial;
    }

    /** A trial that has not shown yet how it ended counts as a break until its own break is reported. */
    function trialPauseMs(content: ContentDigest, record: TrialRecord): number {
        const trial = findUnreported(content, record);
        if (trial === undefined) {
            return 0;
        }
        const pauseMs = Math.max(trial.limitMs, pauseAfterBreaks(breaks.countRounds(content) + 1));
        return Math.max(0, pauseMs - ageOf(trial.atMs));
    }

    function create(content: ContentDigest, trial: TrialRecord["trial"]): TrialRecord {
        const known = breaks.reportOf(content);
        const atMs = (ageMs: number): number => Math.round(clock.wallMs() - ageMs);
        const completedAgeMs = known?.completedAgeMs;
        return {
            breaks: known?.breaks.map(({ sampler, ageMs }) => ({ sampler, atMs: atMs(ageMs) })) ?? [],
            ...(completedAgeMs === undefined ? {} : { completedAtMs: atMs(completedAgeMs) }),
            ...(trial === undefined ? {} : { trial }),
        };
    }

    return {
        create,
        extend: (content, object) => {
            const record = parseRecord(object);
            return object !== undefined && listUnstored(content, record).length === 0
                ? undefined
                : create(content, findUnreported(content, record));
        },
        merge: (content, object) => {
            const record = parseRecord(object);
            const stored = record.breaks.map(({ sampler, atMs }) => ({ sampler, ageMs: ageOf(atMs) }));
            const { completedAtMs } = record;
            const completedAgeMs = completedAtMs === undefined ? undefined : ageOf(completedAtMs);
            breaks.merge([{
                content,
                breaks: stored.filter(({ ageMs }) => ageMs < retentionMs),
                completedAgeMs: completedAgeMs === Infinity ? undefined : completedAgeMs,
            }], "store");
            return trialPauseMs(content, record);
        },
        trialIdOf: object => parseRecord(object).trial?.id,
        isOld: object => {
            const { breaks: stored, trial } = parseRecord(object);
            const times = [...stored, ...trial === undefined ? [] : [trial]];
            return times.every(({ atMs }) => ageOf(atMs) >= retentionMs);
        },
    };
}
