import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import { createRateLimit } from "./createRateLimit.js";
import type { createSeenRecords } from "./createSeenRecords.js";
import type { createTrialRecords } from "./createTrialRecords.js";
import { trialRecordKey } from "./trialRecordKey.js";

interface RecordStorageDeps {
    store: Pick<ObjectStore, "write">;
    records: ReturnType<typeof createTrialRecords>;
    seen: ReturnType<typeof createSeenRecords>;
    clock: Clock;
    /** Runs a change of the store and logs its failure. */
    update: (change: () => Promise<unknown>) => Promise<void>;
}

const absent = 0 as ObjectVersion;
/** Many contents may break off at once when samplers are cut off; the others are stored with their trials. */
const maxStoredPerSecond = 8;

/** Creates the function that stores what is known of a content, unless its record has been seen or is being written. */
export function createRecordStorage(
    { store, records, seen, clock, update }: RecordStorageDeps,
): (content: ContentDigest) => void {
    const mayStore = createRateLimit(clock, maxStoredPerSecond);
    const writing = new Set<ContentDigest>();

    async function write(content: ContentDigest): Promise<void> {
        writing.add(content);
        await update(async () => {
            const key = trialRecordKey(content);
            const outcome = await store.write(key, records.create(content, undefined), absent);
            if (outcome.kind === "written") {
                seen.add(content, outcome.version);
            }
        });
        writing.delete(content);
    }

    return content => {
        if (!seen.has(content) && !writing.has(content) && mayStore()) {
            void write(content);
        }
    };
}
