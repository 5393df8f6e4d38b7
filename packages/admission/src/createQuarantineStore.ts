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
    /** Called when there is something to write. */
    onUnpublished: () => void;
}

/** The quarantine list as one object of the object API, which all entries write. */
interface QuarantineStore {
    /** Whether something known here is not known to be stored. */
    hasUnpublished(): boolean;
    markUnpublished(): void;
    /** Takes the stored list in if its version is higher; true if taken. */
    offer(document: Pick<SharedDocument, "version" | "value">): boolean;
    /** Writes the list with `extra` if nobody else has written meanwhile; else takes in what they wrote. */
    write(extra?: QuarantineRecord[]): Promise<SharedDocument | undefined>;
    /** Writes what is new, merged with what others wrote; undefined if nothing was new or others kept writing. */
    publish(): Promise<SharedDocument | undefined>;
}

const key = "quarantine";
const maxAttempts = 5;
const absent = 0 as ObjectVersion;

/** Makes the stored side of the quarantine; a version known here is only replaced by a higher one. */
export function createQuarantineStore(
    { store, clock, logger, records, onUnpublished: onNews }: QuarantineStoreDeps,
): QuarantineStore {
    let version: ObjectVersion = absent;
    let hasUnpublished = false;

    function markUnpublished(): void {
        hasUnpublished = true;
        onNews();
    }

    /** Takes a stored list; true if it lacks something that is known here. */
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
