import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import type { LotEntry } from "@auburnarch/lots/LotEntry";
import type { LotId } from "@auburnarch/lots/LotId";

/** A job that its client has ended; undefined for an open one and for one that is not known. */
export function endedEntry(
    entries: Pick<WatchedKind<LotEntry>, "objects">,
    lot: LotId,
): LotEntry | undefined {
    const entry = entries.objects()?.get(lot);
    return entry?.isEnded === true ? entry : undefined;
}
