import { checksumOf } from "./checksumOf.js";
import type { GroupRecord } from "./GroupRecord.js";

/** One record as a line: its checksum, a space, its JSON. JSON holds no line end, so a line is a record. */
export function encodeRecord(record: GroupRecord): string {
    const json = JSON.stringify(record);
    return `${checksumOf(json)} ${json}\n`;
}
