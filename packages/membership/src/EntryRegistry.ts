import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { EntryView } from "./EntryView.js";
import type { Heartbeat } from "./Heartbeat.js";
import type { RecordRow } from "./RecordRow.js";

/** Other entries, with the newest that is known of each. */
export interface EntryRegistry {
    /** Takes what another entry tells, if it is newer or refutes or confirms a suspicion. */
    applyHeartbeat(beat: Heartbeat): void;
    applyRecord(row: RecordRow): void;
    /** Probes of an entry failed, from here and through others. */
    suspect(entry: EntryId): void;
    beat(entry: EntryId): Heartbeat | undefined;
    /** Changes that are still to be told, each as often as it takes to reach all. */
    nextBroadcasts(count: number): Heartbeat[];
    beats(): Heartbeat[];
    /** Its record; undefined while that of its present generation is not known. */
    record(entry: EntryId): RecordRow | undefined;
    /** Entries that heartbeats name and whose record is not known. */
    listWithoutRecord(count: number): EntryId[];
    list(): EntryView[];
    /** Drops entries that are suspected for long and that `isListed` does not know. */
    prune(isListed: (record: EntryRecord) => boolean): void;
    /** Grows whenever `list` may have changed. */
    revision(): number;
}
