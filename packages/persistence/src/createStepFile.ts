import { encodeRecord } from "./encodeRecord.js";
import type { FileOperations } from "./FileOperations.js";
import { parseRecords } from "./parseRecords.js";

interface StoredGroup {
    group: number;
    fencing: number;
    body: string;
}

interface StepFile {
    /** Appends a group unless one with a higher fencing number is stored. */
    save(group: StoredGroup): Promise<void>;
    load(): Promise<StoredGroup[]>;
    /** True if no group is left and the file has been removed. */
    drop(groups: number[]): Promise<boolean>;
    bytes(): number;
}

/** Fencing number and line length of a stored group, without its body. */
interface LiveGroup {
    fencing: number;
    bytes: number;
}

const minCompactionBytes = 1_000_000;
const isMissing = (error: unknown): boolean => (error as NodeJS.ErrnoException).code === "ENOENT";

async function readOrEmpty(files: FileOperations, path: string): Promise<Buffer> {
    try {
        return await files.read(path);
    }
    catch (error) {
        if (isMissing(error)) {
            return Buffer.alloc(0);
        }
        throw error;
    }
}

/** A stored group with the length of its line. */
interface StoredLine extends StoredGroup {
    bytes: number;
}

/** Applies records in order; of the records of one group, the last with the highest fencing number wins. */
function liveGroups(records: Awaited<ReturnType<typeof parseRecords>>["records"]): StoredLine[] {
    const live = new Map<number, StoredLine>();
    for (const { record, bytes } of records) {
        if (record.kind === "drop") {
            record.groups.forEach(group => live.delete(group));
        }
        else if (record.fencing >= (live.get(record.group)?.fencing ?? 0)) {
            const { group, fencing, body } = record;
            live.set(group, { group, fencing, body, bytes });
        }
    }
    return [...live.values()];
}

/** Opens the append-only file of one step. Calls must not overlap; bodies are not kept in memory. */
export async function createStepFile(
    files: FileOperations,
    path: string,
    onTorn: (lines: number) => void,
): Promise<StepFile> {
    const live = new Map<number, LiveGroup>();
    let sizeBytes = 0;

    async function readLive(): Promise<StoredLine[]> {
        const { records, torn, wholeBytes } = await parseRecords(await readOrEmpty(files, path));
        if (torn > 0) {
            onTorn(torn);
        }
        sizeBytes = wholeBytes;
        return liveGroups(records);
    }

    async function open(): Promise<void> {
        const stored = await readLive();
        stored.forEach(({ group, fencing, bytes }) => live.set(group, { fencing, bytes }));
        await truncateTail();
    }

    /** Cuts off what a failed append left, so that the next line does not continue a partial one. */
    async function truncateTail(): Promise<void> {
        await files.truncate(path, sizeBytes).catch((error: unknown) => {
            if (!isMissing(error)) {
                throw error;
            }
        });
    }

    async function append(line: string): Promise<void> {
        try {
            await files.append(path, line);
            sizeBytes += Buffer.byteLength(line);
        }
        catch (error) {
            await truncateTail().catch(() => undefined);
            throw error;
        }
    }

    const liveBytes = (): number => [...live.values()].reduce((sum, group) => sum + group.bytes, 0);

    async function compact(): Promise<void> {
        const stored = await readLive();
        const lines = stored.map(({ group, fencing, body }) =>
            encodeRecord({ kind: "group", group, fencing, body })
        );
        const text = lines.join("");
        await files.replace(path, text);
        sizeBytes = Buffer.byteLength(text);
    }

    async function drop(groups: number[]): Promise<boolean> {
        const known = groups.filter(group => live.has(group));
        known.forEach(group => live.delete(group));
        if (live.size === 0) {
            await files.remove(path);
            sizeBytes = 0;
            return true;
        }
        if (known.length > 0) {
            await append(encodeRecord({ kind: "drop", groups: known }));
        }
        if (sizeBytes > minCompactionBytes && liveBytes() * 2 < sizeBytes) {
            await compact();
        }
        return false;
    }

    await open();
    return {
        save: async group => {
            if (group.fencing < (live.get(group.group)?.fencing ?? 0)) {
                return;
            }
            const line = encodeRecord({ kind: "group", ...group });
            await append(line);
            live.set(group.group, { fencing: group.fencing, bytes: Buffer.byteLength(line) });
        },
        load: async () => (await readLive()).map(({ group, fencing, body }) => ({ group, fencing, body })),
        drop,
        bytes: () => sizeBytes,
    };
}
