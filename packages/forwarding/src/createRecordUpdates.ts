import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { createTrialRecords } from "./createTrialRecords.js";
import type { StoredTrial } from "./StoredTrial.js";
import { trialRecordKey } from "./trialRecordKey.js";

interface RecordUpdatesDeps {
    store: Pick<ObjectStore, "read" | "write" | "remove">;
    records: Pick<ReturnType<typeof createTrialRecords>, "create" | "trialIdOf">;
    /** Merges a record of the store into what is known here, and adds it to the seen ones. */
    mergeRecord: (content: ContentDigest, object: StoredObject | undefined) => void;
    onWritten: (content: ContentDigest, version: ObjectVersion) => void;
}

interface RecordUpdates {
    /** Removes the record of a content that was cleared. */
    remove(content: ContentDigest, version: ObjectVersion): Promise<void>;
    /** Takes a trial that was not run out of its record, so that other processes may try. */
    release(content: ContentDigest, trial: StoredTrial): Promise<void>;
}

/** Creates the updates of records at the end of a trial; another process may have extended the record meanwhile. */
export function createRecordUpdates(
    { store, records, mergeRecord, onWritten }: RecordUpdatesDeps,
): RecordUpdates {
    async function readCurrent(content: ContentDigest): Promise<StoredObject | undefined> {
        const object = await store.read(trialRecordKey(content));
        mergeRecord(content, object);
        return object;
    }

    async function writeReleased(content: ContentDigest, version: ObjectVersion): Promise<boolean> {
        const record = records.create(content, undefined);
        const outcome = await store.write(trialRecordKey(content), record, version);
        if (outcome.kind === "written") {
            onWritten(content, outcome.version);
        }
        return outcome.kind === "written";
    }

    return {
        remove: async (content, version) => {
            const outcome = await store.remove(trialRecordKey(content), version);
            if (outcome.kind === "conflict") {
                // As one that was seen, it is removed once none of its breaks counts.
                await readCurrent(content);
            }
        },
        release: async (content, { id, version }) => {
            if (await writeReleased(content, version)) {
                return;
            }
            const object = await readCurrent(content);
            if (object !== undefined && records.trialIdOf(object) === id) {
                await writeReleased(content, object.version);
            }
        },
    };
}
