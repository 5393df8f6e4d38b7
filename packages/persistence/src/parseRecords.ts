import { setImmediate as nextTurn } from "node:timers/promises";
import { z } from "zod";
import { checksumOf } from "./checksumOf.js";
import type { GroupRecord } from "./GroupRecord.js";

interface ParsedRecord {
    record: GroupRecord;
    /** Length of its line, including the line end. */
    bytes: number;
}

interface ParsedRecords {
    records: ParsedRecord[];
    /** Lines skipped because their checksum or shape is wrong, or their end is missing. */
    torn: number;
    /** Bytes up to the end of the last complete line; what follows is a partial line. */
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
 * Parses the lines of a step's file. A process that crashes during an append leaves a line without its end, or with
 * only part of its bytes; such a line is skipped and never taken for a complete group. A long file is parsed in slices,
 * because a process that blocks its event loop for the whole file would miss its heartbeats.
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
