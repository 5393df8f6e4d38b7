import { checksumOf } from "./checksumOf.js";
import type { GroupRecord } from "./GroupRecord.js";

/**
 * Encodes a record as a line: its checksum, a space, its JSON. JSON contains no line end, so each line is one record.
 */
export function encodeRecord(record: GroupRecord): string {
    const json = JSON.stringify(record);
    return `${checksumOf(json)} ${json}\n`;
}
