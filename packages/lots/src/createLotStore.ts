import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { z } from "zod";
import { createKnownEntries } from "./createKnownEntries.js";
import type { LotEntry } from "./LotEntry.js";
import type { LotId } from "./LotId.js";
import type { LotItem } from "./LotItem.js";
import { lotKinds } from "./lotKinds.js";
import { lotSchemas } from "./lotSchemas.js";
import type { LotStore } from "./LotStore.js";
import { mayUseLot } from "./mayUseLot.js";

const absent = 0 as ObjectVersion;
/** Tries to mark a job as ended while another writer changes its entry. */
const endTries = 3;

function parse<T>(schema: z.ZodType<T>, key: string, value: unknown): T {
    const parsed = schema.safeParse(value);
    if (!parsed.success) {
        throw new ResultError(
            resultCodes.recordTorn,
            `${key}: ${parsed.error.issues[0]?.message ?? "not understood"}`,
        );
    }
    return parsed.data;
}

const expectedTokensOf = (items: LotItem[]): number =>
    items.reduce((sum, item) => sum + (item.expectedOutputTokens ?? item.maxOutputTokens), 0);

/** Makes the batch jobs' part of the store. Everything but an entry's end is created once and never changed. */
export function createLotStore(store: ObjectStore): LotStore {
    const known = createKnownEntries();
    const entryKey = (lot: LotId): string => `${lotKinds.entries}/${lot}`;
    const bodyKey = (lot: LotId): string => `${lotKinds.bodies}/${lot}`;
    const chunkKey = (lot: LotId, number: number): string => `${lotKinds.results}/${lot}.${number}`;

    async function readAs<T>(schema: z.ZodType<T>, key: string): Promise<T | undefined> {
        const object = await store.read(key);
        return object === undefined ? undefined : parse(schema, key, object.value);
    }

    /** The entry makes a job exist, so its lost answer is resolved; a body without an entry is only litter. */
    async function createEntry(lot: LotId, entry: LotEntry): Promise<void> {
        try {
            const outcome = await store.write(entryKey(lot), entry, absent);
            if (outcome.kind === "written") {
                known.set(lot, entry, outcome.version);
            }
        }
        catch (error) {
            if (
                codeOf(error) !== resultCodes.storeUnavailable
                || await store.read(entryKey(lot)) === undefined
            ) {
                throw error;
            }
        }
    }

    async function readEntry(lot: LotId): Promise<LotEntry | undefined> {
        const object = await store.read(entryKey(lot));
        if (object === undefined) {
            known.forget(lot);
            return undefined;
        }
        const entry = parse(lotSchemas.entry, object.key, object.value);
        known.set(lot, entry, object.version);
        return entry;
    }

    /** A lost answer leaves the entry in doubt: it is read before the next try. */
    async function writeEnd(lot: LotId, entry: LotEntry, version: ObjectVersion): Promise<boolean> {
        known.forget(lot);
        const ended = { ...entry, isEnded: true };
        const outcome = await store.write(entryKey(lot), ended, version);
        if (outcome.kind === "written") {
            known.set(lot, ended, outcome.version);
        }
        return outcome.kind === "written";
    }

    async function tryEnd(lot: LotId, caller: TeamId | undefined): Promise<"done" | "unknown" | "raced"> {
        const entry = known.get(lot)?.entry ?? await readEntry(lot);
        const found = known.get(lot);
        if (entry === undefined || found === undefined || !mayUseLot(entry.team, caller)) {
            return "unknown";
        }
        if (entry.isEnded) {
            return "done";
        }
        return await writeEnd(lot, entry, found.version) ? "done" : "raced";
    }

    /** False if there was no such object. */
    async function removeObject(key: string): Promise<boolean> {
        const object = await store.read(key);
        if (object !== undefined) {
            await store.remove(key, object.version);
        }
        return object !== undefined;
    }

    async function removeChunks(lot: LotId): Promise<void> {
        let number = 0;
        while (await removeObject(chunkKey(lot, number))) {
            number++;
        }
    }

    return {
        remove: async lot => {
            known.forget(lot);
            await removeChunks(lot);
            await removeObject(bodyKey(lot));
            await removeObject(entryKey(lot));
        },
        accept: async (lot, submittedAtMs) => {
            if (known.get(lot.lot) !== undefined) {
                return;
            }
            await store.write(bodyKey(lot.lot), lot, absent);
            const { items, team, policy } = lot;
            await createEntry(lot.lot, {
                total: items.length,
                team,
                submittedAtMs,
                policy,
                expectedTokens: expectedTokensOf(items),
                isEnded: false,
            });
        },
        readEntry,
        readLot: lot => readAs(lotSchemas.lot, bodyKey(lot)),
        readChunk: (lot, number) => readAs(lotSchemas.chunk, chunkKey(lot, number)),
        appendChunk: async (lot, number, chunk) => {
            const key = chunkKey(lot, number);
            const outcome = await store.write(key, chunk, absent);
            return outcome.kind === "written" ? chunk : parse(lotSchemas.chunk, key, outcome.current?.value);
        },
        end: async (lot, caller) => {
            for (let tries = 0; tries < endTries; tries++) {
                const ended = await tryEnd(lot, caller);
                if (ended !== "raced") {
                    return ended === "done";
                }
            }
            throw new ResultError(resultCodes.storeThrottled, `${entryKey(lot)} keeps changing`);
        },
    };
}
