import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { Random } from "@auburnarch/types/Random";

/** Dependencies of `createQuarantine`. */
export interface QuarantineDeps {
    store: ObjectStore;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Time after its last crash at which a record expires; 24 h by default. */
    expiresAfterMs?: number;
    /** Longest delay before new records are written; randomized, so that entries with the same ones do not race. */
    publishWithinMs?: number;
    maxRecords?: number;
    /** Whether a trial due at a time is available now. */
    isTrialDue?: (dueAtMs: number, nowMs: number) => boolean;
    /** Whether a record causes its content to be refused now. */
    isConvicted?: (record: QuarantineRecord, nowMs: number, records: readonly QuarantineRecord[]) => boolean;
}
