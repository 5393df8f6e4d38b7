import type { EntryId } from "@auburnarch/types/EntryId";
import type { Heartbeat } from "./Heartbeat.js";
import type { RecordRow } from "./RecordRow.js";

/**
 * One message between entries, with the same shape in both directions. Every exchange probes the receiver. Beyond
 * that it carries only changes, so its size does not depend on the number of entries.
 */
export interface GossipMessage {
    from: EntryId;
    beats: Heartbeat[];
    records: RecordRow[];
    /** Entries whose record the sender lacks. */
    wanted: EntryId[];
    /** Address that the receiver is to probe on behalf of the sender, who got no answer from it. */
    probe?: string;
    /** Result of the probe that was asked for with `probe`. */
    reached?: boolean;
}
