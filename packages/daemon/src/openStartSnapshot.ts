import type { StartSnapshot } from "@auburnarch/entry/StartSnapshot";
import { createSnapshotFile } from "@auburnarch/persistence/createSnapshotFile";
import type { Logger } from "@auburnarch/types/Logger";
import { z } from "zod";

const format = 1;
const schema = z.object({
    documents: z.array(z.object({ name: z.string(), version: z.number(), value: z.unknown() })),
    peers: z.array(z.string()),
}) as unknown as z.ZodType<StartSnapshot>;

interface OpenedSnapshot {
    snapshot: StartSnapshot | undefined;
    save: ((snapshot: StartSnapshot) => Promise<void>) | undefined;
}

/** Opens the snapshot that speeds up the next start; there is none without a data folder. */
export async function openStartSnapshot(
    dataFolder: string | undefined,
    logger: Logger,
): Promise<OpenedSnapshot> {
    if (dataFolder === undefined) {
        return { snapshot: undefined, save: undefined };
    }
    const file = createSnapshotFile(dataFolder, "start", { format, schema, logger });
    return { snapshot: await file.read(), save: file.write };
}
