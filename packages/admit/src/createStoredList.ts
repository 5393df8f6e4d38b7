import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { mergeRecords } from "./mergeRecords.js";
import { parseQuarantine } from "./parseQuarantine.js";

interface StoredListDeps {
    store: ObjectStore;
    clock: Clock;
    logger: Logger;
    records: { take(offered: QuarantineRecord[]): boolean; list(): QuarantineRecord[]; };
    /** Called when there is something to write. */
    onNews: () => void;
}

/** The quarantine list as one object of the object API, which all entries write. */
interface StoredList {
    /** Whether something known here is not known to be stored. */
    isNew(): boolean;
    markNew(): void;
    /** Takes the stored list in if its version is higher; true if taken. */
    offer(document: Pick<SharedDocument, "version" | "value">): boolean;
    /** Writes the list with `extra` if nobody else has written meanwhile; else takes in what they wrote. */
    write(extra?: QuarantineRecord[]): Promise<SharedDocument | undefined>;
    /** Writes what is new, merged with what others wrote; undefined if nothing was new or others kept writing. */
    publish(): Promise<SharedDocument | undefined>;
}

const key = "quarantine";
const maxTries = 5;
const absent = 0 as ObjectVersion;

/** Makes the stored side of the quarantine; a version known here is only replaced by a higher one. */
export function createStoredList({ store, clock, logger, records, onNews }: StoredListDeps): StoredList {
    let version: ObjectVersion = absent;
    let isNew = false;

    function markNew(): void {
        isNew = true;
        onNews();
    }

    /** Takes a stored list; true if it lacks something that is known here. */
    function takeStored(value: unknown, storedVersion: ObjectVersion): boolean {
        const stored = parseQuarantine(value) ?? [];
        version = storedVersion;
        records.take(stored);
        const isLive = (record: QuarantineRecord): boolean => record.expiresAtMs > clock.wallMs();
        const present = JSON.stringify(mergeRecords(records.list()));
        return JSON.stringify(mergeRecords(stored.filter(isLive))) !== present;
    }

    async function write(extra: QuarantineRecord[] = []): Promise<SharedDocument | undefined> {
        const value = { records: mergeRecords(records.list(), extra) };
        isNew = false;
        const outcome = await store.write(key, value, version).catch((error: unknown) => {
            markNew();
            throw error;
        });
        if (outcome.kind === "written") {
            version = outcome.version;
            records.take(extra);
            logger.info("quarantinePublished", { version, records: value.records.length });
            return { name: key, version, value };
        }
        const lacks = takeStored(outcome.current?.value, outcome.current?.version ?? absent);
        isNew = isNew || lacks;
        return undefined;
    }

    return {
        isNew: () => isNew,
        markNew,
        offer: document => {
            if (document.version <= version) {
                return false;
            }
            if (takeStored(document.value, document.version as ObjectVersion)) {
                markNew();
            }
            else {
                isNew = false;
            }
            return true;
        },
        write,
        publish: async () => {
            for (let tries = 0; tries < maxTries && isNew; tries++) {
                const document = await write();
                if (document !== undefined) {
                    return document;
                }
            }
            return undefined;
        },
    };
}
