import type { EntryId } from "@auburnarch/types/EntryId";
import type { Heartbeat } from "./Heartbeat.js";
import type { RecordRow } from "./RecordRow.js";

/**
 * One message between entries, the same in both directions. Every exchange is a probe of the receiver; what it
 * carries beside are changes, so that its size does not depend on the number of entries.
 */
export interface GossipMessage {
    from: EntryId;
    beats: Heartbeat[];
    records: RecordRow[];
    /** Entries whose record the sender lacks. */
    wanted: EntryId[];
    /** Asks the receiver to probe this address for the sender, who got no answer from there. */
    probe?: string;
    /** Answer to `probe`. */
    reached?: boolean;
}
