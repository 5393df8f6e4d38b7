import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { LotEntry } from "@auburnarch/lots/LotEntry";
import type { LotId } from "@auburnarch/lots/LotId";

/** Items of a job that its client has ended; undefined for an open one and for one that is not known. */
export function endedTotal(entries: Pick<WatchedKind<LotEntry>, "objects">, lot: LotId): number | undefined {
    const entry = entries.objects()?.get(lot);
    return entry?.isEnded === true ? entry.total : undefined;
}
