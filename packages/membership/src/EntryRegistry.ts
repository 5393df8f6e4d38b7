import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { EntryView } from "./EntryView.js";
import type { Heartbeat } from "./Heartbeat.js";
import type { RecordRow } from "./RecordRow.js";

/** The latest known heartbeat and record of each other entry. */
export interface EntryRegistry {
    /** Applies a received heartbeat if it is newer, refutes a suspicion or confirms one. */
    applyHeartbeat(beat: Heartbeat): void;
    applyRecord(row: RecordRow): void;
    /** Marks an entry as suspected after direct and indirect probes of it failed. */
    suspect(entry: EntryId): void;
    beat(entry: EntryId): Heartbeat | undefined;
    /** Takes the next changes to gossip; each is repeated often enough to reach all entries. */
    nextBroadcasts(count: number): Heartbeat[];
    beats(): Heartbeat[];
    /** The entry's record; undefined until the record of its current generation is known. */
    record(entry: EntryId): RecordRow | undefined;
    /** Entries known from heartbeats whose record has not arrived yet. */
    listWithoutRecord(count: number): EntryId[];
    list(): EntryView[];
    /** Removes entries that have been suspected for `forgetAfterMs` and are not `isListed`. */
    prune(isListed: (record: EntryRecord) => boolean): void;
    /** Increases whenever the result of `list` may have changed. */
    revision(): number;
}
