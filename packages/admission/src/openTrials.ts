import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";

type Trials = NonNullable<QuarantineRecord["trials"]>;

/** Trials that have not cleared the record: those that ended in a crash, with unknown outcome, or are running. */
export function openTrials({ trials = [], liftedAtMs = Number.NEGATIVE_INFINITY }: QuarantineRecord): Trials {
    return trials.filter(trial => trial.atMs > liftedAtMs);
}
