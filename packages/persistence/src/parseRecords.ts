import { setImmediate as nextTurn } from "node:timers/promises";
import { z } from "zod";
import { checksumOf } from "./checksumOf.js";
import type { GroupRecord } from "./GroupRecord.js";

interface ParsedRecord {
    record: GroupRecord;
    /** Length of its line. */
    bytes: number;
}

interface ParsedRecords {
    records: ParsedRecord[];
    /** Lines left out because their checksum or shape is wrong, or their end is missing. */
    torn: number;
    /** Bytes up to the end of the last whole line; what is behind it was cut short. */
    wholeBytes: number;
}

const groupRecord = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("group"),
        group: z.number().int().nonnegative(),
        fencing: z.number().int().nonnegative(),
        body: z.string(),
    }),
    z.object({ kind: z.literal("drop"), groups: z.array(z.number().int().nonnegative()) }),
]);
const bytesPerTurn = 500_000;
const lineEnd = 0x0a;

function parseLine(line: string): GroupRecord | undefined {
    const space = line.indexOf(" ");
    const json = line.slice(space + 1);
    if (space < 0 || line.slice(0, space) !== checksumOf(json)) {
        return undefined;
    }
    const parsed = groupRecord.safeParse(JSON.parse(json));
    return parsed.success ? parsed.data : undefined;
}

/**
 * Reads the lines of a step's file. A process that dies while it appends leaves a line without its end or with a
 * part of its bytes; such a line is left out, and never taken for a whole group. A long file is read in turns, as
 * a process that stands still for it would miss its heartbeats.
 */
export async function parseRecords(file: Buffer): Promise<ParsedRecords> {
    const records: ParsedRecord[] = [];
    let torn = 0;
    let start = 0;
    let turnBytes = 0;
    for (let end = file.indexOf(lineEnd); end >= 0; end = file.indexOf(lineEnd, start)) {
        const bytes = end + 1 - start;
        const record = parseLine(file.toString("utf8", start, end));
        if (record === undefined) {
            torn++;
        }
        else {
            records.push({ record, bytes });
        }
        start = end + 1;
        turnBytes += bytes;
        if (turnBytes > bytesPerTurn) {
            turnBytes = 0;
            await nextTurn();
        }
    }
    return { records, torn: torn + (start < file.length ? 1 : 0), wholeBytes: start };
}
