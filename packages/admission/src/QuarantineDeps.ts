import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { Random } from "@auburnarch/types/Random";

/** What a quarantine is built from. */
export interface QuarantineDeps {
    store: ObjectStore;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Time after its last death at which a record is forgotten; 24 h by default. */
    expiresAfterMs?: number;
    /** Longest delay before news are written; drawn anew each time, so that entries with the same news do not race. */
    publishWithinMs?: number;
    maxRecords?: number;
    /** Whether a trial that is due at a time may be had now. */
    isTrialDue?: (dueAtMs: number, nowMs: number) => boolean;
    /** Whether a record refuses its content now. */
    isConvicted?: (record: QuarantineRecord, nowMs: number, records: readonly QuarantineRecord[]) => boolean;
}
