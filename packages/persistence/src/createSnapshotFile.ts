import type { Logger } from "@auburnarch/types/Logger";
import { join } from "node:path";
import { z, type ZodType } from "zod";
import { checksumOf } from "./checksumOf.js";
import type { FileOperations } from "./FileOperations.js";
import { nodeFileOperations } from "./nodeFileOperations.js";

interface SnapshotOptions<T> {
    /** Version of the format, raised when the shape changes; a file of another version is ignored. */
    format: number;
    schema: ZodType<T>;
    logger: Logger;
    files?: FileOperations;
}

interface SnapshotFile<T> {
    /** The last complete snapshot; undefined if there is none, or if it is damaged or of another format. */
    read(): Promise<T | undefined>;
    /** Resolves once this or a later value is on disk, or the write has failed, which is logged. */
    write(value: T): Promise<void>;
}

const envelope = z.object({ format: z.number(), checksum: z.string(), json: z.string() });

/**
 * Creates a snapshot file, which speeds up startup. It is replaced atomically and has a checksum. Its content may be
 * out of date, so a reader must prefer anything newer. Of the values written while a write is in progress, only the
 * last is written.
 */
export function createSnapshotFile<T>(
    folder: string,
    name: string,
    options: SnapshotOptions<T>,
): SnapshotFile<T> {
    const { format, schema, logger, files = nodeFileOperations } = options;
    const path = join(folder, `${name}.json`);
    let pendingValue: T | undefined;
    let writing: Promise<void> | undefined;

    function rejectSnapshot(reason: string): undefined {
        logger.warn("snapshotLeftOut", { name, reason });
        return undefined;
    }

    function decode(text: string): T | undefined {
        const outer = envelope.safeParse(JSON.parse(text));
        if (!outer.success || outer.data.checksum !== checksumOf(outer.data.json)) {
            return rejectSnapshot("damaged");
        }
        if (outer.data.format !== format) {
            return rejectSnapshot("otherFormat");
        }
        const inner = schema.safeParse(JSON.parse(outer.data.json));
        return inner.success ? inner.data : rejectSnapshot("otherShape");
    }

    async function read(): Promise<T | undefined> {
        const bytes = await files.read(path).catch(() => undefined);
        if (bytes === undefined) {
            return undefined;
        }
        try {
            return decode(bytes.toString("utf8"));
        }
        catch {
            return rejectSnapshot("damaged");
        }
    }

    async function writeOnce(value: T): Promise<void> {
        const json = JSON.stringify(value);
        try {
            await files.makeFolder(folder);
            await files.replace(path, JSON.stringify({ format, checksum: checksumOf(json), json }));
        }
        catch (error) {
            // A process without its snapshot only starts more slowly, so the failure does not stop it.
            logger.warn("snapshotNotWritten", { name, detail: String(error) });
        }
    }

    async function writePending(): Promise<void> {
        while (pendingValue !== undefined) {
            const value = pendingValue;
            pendingValue = undefined;
            await writeOnce(value);
        }
        writing = undefined;
    }

    return {
        read,
        write: value => {
            pendingValue = value;
            writing ??= writePending();
            return writing;
        },
    };
}
