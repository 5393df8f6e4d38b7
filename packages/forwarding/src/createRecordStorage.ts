import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import { createRateLimit } from "./createRateLimit.js";
import type { createSeenRecords } from "./createSeenRecords.js";
import type { createTrialRecords } from "./createTrialRecords.js";
import { trialRecordKey } from "./trialRecordKey.js";

interface RecordStorageDeps {
    store: Pick<ObjectStore, "read" | "write">;
    records: Pick<ReturnType<typeof createTrialRecords>, "extend">;
    seen: Pick<ReturnType<typeof createSeenRecords>, "add" | "has">;
    clock: Clock;
    /** Merges a record of the store into what is known here. */
    mergeRecord: (content: ContentDigest, object: StoredObject | undefined) => void;
    /** Runs a change of the store and logs its failure. */
    update: (change: () => Promise<unknown>) => Promise<void>;
}

const absent = 0 as ObjectVersion;
/** Many contents may break off at once when samplers are cut off; the others are stored with their trials. */
const maxStoredPerSecond = 8;
/** Other processes may write the same record at the same time; after this many conflicts the next break stores it. */
const maxWrites = 4;

/**
 * Creates the function that stores what is known of a content. Breaks are added to its record for as long as they come:
 * a process that starts knows only what the record says.
 */
export function createRecordStorage(
    { store, records, seen, clock, mergeRecord, update }: RecordStorageDeps,
): (content: ContentDigest) => void {
    const mayStore = createRateLimit(clock, maxStoredPerSecond);
    /** Contents whose record is being written; the value says whether more has become known since. */
    const writing = new Map<ContentDigest, boolean>();

    /** Returns whether to stop: the record has all breaks, or too many records were written lately. */
    async function writeOnce(content: ContentDigest, mayExist: boolean): Promise<boolean> {
        const key = trialRecordKey(content);
        const object = mayExist ? await store.read(key) : undefined;
        mergeRecord(content, object);
        const record = records.extend(content, object);
        if (record === undefined || !mayStore()) {
            return true;
        }
        const outcome = await store.write(key, record, object?.version ?? absent);
        if (outcome.kind === "written") {
            seen.add(content, outcome.version);
        }
        return outcome.kind === "written";
    }

    async function write(content: ContentDigest): Promise<void> {
        writing.set(content, false);
        await update(async () => {
            let isStored = await writeOnce(content, seen.has(content));
            for (let writes = 1; !isStored && writes < maxWrites; writes++) {
                isStored = await writeOnce(content, true);
            }
        });
        const hasMore = writing.get(content) === true;
        writing.delete(content);
        if (hasMore) {
            storeBreaks(content);
        }
    }

    function storeBreaks(content: ContentDigest): void {
        if (writing.has(content)) {
            writing.set(content, true);
        }
        else {
            void write(content);
        }
    }

    return storeBreaks;
}
