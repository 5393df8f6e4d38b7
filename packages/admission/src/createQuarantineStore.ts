import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { mergeRecords } from "./mergeRecords.js";
import { parseQuarantine } from "./parseQuarantine.js";

interface QuarantineStoreDeps {
    store: ObjectStore;
    clock: Clock;
    logger: Logger;
    records: { merge(offered: QuarantineRecord[]): boolean; list(): QuarantineRecord[]; };
    /** Called when there are records to write. */
    onUnpublished: () => void;
}

/** The quarantine list as a single object of the object API, written by all entries. */
interface QuarantineStore {
    /** Whether this entry has records that may not be stored yet. */
    hasUnpublished(): boolean;
    markUnpublished(): void;
    /** Applies the stored list if its version is higher; true if applied. */
    offer(document: Pick<SharedDocument, "version" | "value">): boolean;
    /** Writes the list with `extra`; on a conflict with another writer, merges the stored list instead. */
    write(extra?: QuarantineRecord[]): Promise<SharedDocument | undefined>;
    /** Writes new records, merged with those of other entries; undefined if none was new or conflicts persisted. */
    publish(): Promise<SharedDocument | undefined>;
}

const key = "quarantine";
const maxAttempts = 5;
const absent = 0 as ObjectVersion;

/** Creates the store of the quarantine list; a known version is only replaced by a higher one. */
export function createQuarantineStore(
    { store, clock, logger, records, onUnpublished }: QuarantineStoreDeps,
): QuarantineStore {
    let version: ObjectVersion = absent;
    let hasUnpublished = false;

    function markUnpublished(): void {
        hasUnpublished = true;
        onUnpublished();
    }

    /** Merges a stored list; true if it lacks records known here. */
    function mergeStored(value: unknown, storedVersion: ObjectVersion): boolean {
        const stored = parseQuarantine(value) ?? [];
        version = storedVersion;
        records.merge(stored);
        const isLive = (record: QuarantineRecord): boolean => record.expiresAtMs > clock.wallMs();
        const present = JSON.stringify(mergeRecords(records.list()));
        return JSON.stringify(mergeRecords(stored.filter(isLive))) !== present;
    }

    async function write(extra: QuarantineRecord[] = []): Promise<SharedDocument | undefined> {
        const value = { records: mergeRecords(records.list(), extra) };
        hasUnpublished = false;
        const outcome = await store.write(key, value, version).catch((error: unknown) => {
            markUnpublished();
            throw error;
        });
        if (outcome.kind === "written") {
            version = outcome.version;
            records.merge(extra);
            logger.info("quarantinePublished", { version, records: value.records.length });
            return { name: key, version, value };
        }
        const isIncomplete = mergeStored(outcome.current?.value, outcome.current?.version ?? absent);
        hasUnpublished = hasUnpublished || isIncomplete;
        return undefined;
    }

    return {
        hasUnpublished: () => hasUnpublished,
        markUnpublished,
        offer: document => {
            if (document.version <= version) {
                return false;
            }
            if (mergeStored(document.value, document.version as ObjectVersion)) {
                markUnpublished();
            }
            else {
                hasUnpublished = false;
            }
            return true;
        },
        write,
        publish: async () => {
            for (let tries = 0; tries < maxAttempts && hasUnpublished; tries++) {
                const document = await write();
                if (document !== undefined) {
                    return document;
                }
            }
            return undefined;
        },
    };
}
