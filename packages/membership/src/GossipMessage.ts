import type { EntryId } from "@auburnarch/types/EntryId";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import type { Heartbeat } from "./Heartbeat.js";

/** Heartbeats between entries, the same in both directions; of bounded size whatever the number of entries. */
export interface GossipMessage {
    from: EntryRecord;
    beats: Heartbeat[];
    records: EntryRecord[];
    /** Entries whose record the sender lacks. */
    wanted: EntryId[];
}
