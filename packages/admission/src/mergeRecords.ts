import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";

type Crashes = QuarantineRecord["deaths"];
type Trials = NonNullable<QuarantineRecord["trials"]>;

const latest = (a: number | undefined, b: number | undefined): number | undefined =>
    a === undefined ? b : Math.max(a, b ?? a);

/** Each process counts the contents it saw, so the highest count is the most accurate. */
function mergeCrash(a: Crashes[number], b: Crashes[number]): Crashes[number] {
    const contents = latest(a.contents, b.contents);
    const { vm, bootId } = a;
    return { vm, bootId, atMs: Math.min(a.atMs, b.atMs), ...(contents === undefined ? {} : { contents }) };
}

function mergeTrials(trials: Trials): Trials | undefined {
    const byId = new Map<string, Trials[number]>();
    for (const each of trials) {
        const known = byId.get(each.trial);
        byId.set(each.trial, known === undefined || each.atMs < known.atMs ? each : known);
    }
    const merged = [...byId.values()].sort((a, b) => a.atMs - b.atMs || (a.trial < b.trial ? -1 : 1));
    return merged.length === 0 ? undefined : merged;
}

/** A crash reported by several entries counts once, at the earliest time reported. */
function mergeCrashes(crashes: Crashes): Crashes {
    const byBoot = new Map<string, Crashes[number]>();
    for (const crash of crashes) {
        const key = `${crash.vm} ${crash.bootId}`;
        const known = byBoot.get(key);
        byBoot.set(key, known === undefined ? crash : mergeCrash(known, crash));
    }
    return [...byBoot].sort(([a], [b]) => a < b ? -1 : 1).map(([, crash]) => crash);
}

/**
 * Merges lists of records. The result does not depend on the order of merging, so that entries that write
 * concurrently converge.
 */
export function mergeRecords(...lists: QuarantineRecord[][]): QuarantineRecord[] {
    const merged = new Map<ContentDigest, QuarantineRecord>();
    for (const record of lists.flat()) {
        const known = merged.get(record.digest);
        merged.set(record.digest, {
            digest: record.digest,
            deaths: mergeCrashes([...(known?.deaths ?? []), ...record.deaths]),
            expiresAtMs: Math.max(known?.expiresAtMs ?? 0, record.expiresAtMs),
            liftedAtMs: latest(known?.liftedAtMs, record.liftedAtMs),
            trials: mergeTrials([...(known?.trials ?? []), ...(record.trials ?? [])]),
        });
    }
    return [...merged.values()].sort((a, b) => a.digest < b.digest ? -1 : 1);
}
