import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";

type Deaths = QuarantineRecord["deaths"];

const latest = (a: number | undefined, b: number | undefined): number | undefined =>
    a === undefined ? b : Math.max(a, b ?? a);

/** One death told by several entries counts once, at the earliest time told. */
function mergeDeaths(deaths: Deaths): Deaths {
    const byBoot = new Map<string, Deaths[number]>();
    for (const death of deaths) {
        const key = `${death.vm} ${death.bootId}`;
        const known = byBoot.get(key);
        byBoot.set(key, known === undefined || death.atMs < known.atMs ? death : known);
    }
    return [...byBoot].sort(([a], [b]) => a < b ? -1 : 1).map(([, death]) => death);
}

/**
 * Merges lists of records. The result does not depend on the order in which entries' lists are merged, so that
 * entries that race each other agree.
 */
export function mergeRecords(...lists: QuarantineRecord[][]): QuarantineRecord[] {
    const merged = new Map<ContentDigest, QuarantineRecord>();
    for (const record of lists.flat()) {
        const known = merged.get(record.digest);
        merged.set(record.digest, {
            digest: record.digest,
            deaths: mergeDeaths([...(known?.deaths ?? []), ...record.deaths]),
            expiresAtMs: Math.max(known?.expiresAtMs ?? 0, record.expiresAtMs),
            liftedAtMs: latest(known?.liftedAtMs, record.liftedAtMs),
        });
    }
    return [...merged.values()].sort((a, b) => a.digest < b.digest ? -1 : 1);
}
