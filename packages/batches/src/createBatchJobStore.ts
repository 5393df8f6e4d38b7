import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { z } from "zod";
import type { BatchJobEntry } from "./BatchJobEntry.js";
import type { BatchJobId } from "./BatchJobId.js";
import type { BatchJobItem } from "./BatchJobItem.js";
import { batchJobKinds } from "./batchJobKinds.js";
import { batchJobSchemas } from "./batchJobSchemas.js";
import type { BatchJobStore } from "./BatchJobStore.js";
import { createEntryCache } from "./createEntryCache.js";
import { mayAccessBatchJob } from "./mayAccessBatchJob.js";

const absent = 0 as ObjectVersion;
/** Attempts to mark a batch job as ended while another writer changes its entry. */
const maxEndAttempts = 3;

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

const expectedTokensOf = (items: BatchJobItem[]): number =>
    items.reduce((sum, item) => sum + (item.expectedOutputTokens ?? item.maxOutputTokens), 0);

/**
 * Creates the store of batch jobs. All its objects are created once and never changed, except that an entry is marked
 * as ended.
 */
export function createBatchJobStore(store: ObjectStore): BatchJobStore {
    const entryCache = createEntryCache();
    const entryKey = (batchJobId: BatchJobId): string => `${batchJobKinds.entries}/${batchJobId}`;
    const bodyKey = (batchJobId: BatchJobId): string => `${batchJobKinds.bodies}/${batchJobId}`;
    const chunkKey = (batchJobId: BatchJobId, number: number): string =>
        `${batchJobKinds.results}/${batchJobId}.${number}`;

    async function readAs<T>(schema: z.ZodType<T>, key: string): Promise<T | undefined> {
        const object = await store.read(key);
        return object === undefined ? undefined : parse(schema, key, object.value);
    }

    /**
     * A batch job exists once its entry does, so a lost answer to this write is resolved by a read. A body without an
     * entry is only garbage.
     */
    async function createEntry(batchJobId: BatchJobId, entry: BatchJobEntry): Promise<void> {
        try {
            const outcome = await store.write(entryKey(batchJobId), entry, absent);
            if (outcome.kind === "written") {
                entryCache.set(batchJobId, entry, outcome.version);
            }
        }
        catch (error) {
            if (
                codeOf(error) !== resultCodes.storeUnavailable
                || await store.read(entryKey(batchJobId)) === undefined
            ) {
                throw error;
            }
        }
    }

    async function readEntry(batchJobId: BatchJobId): Promise<BatchJobEntry | undefined> {
        const object = await store.read(entryKey(batchJobId));
        if (object === undefined) {
            entryCache.remove(batchJobId);
            return undefined;
        }
        const entry = parse(batchJobSchemas.entry, object.key, object.value);
        entryCache.set(batchJobId, entry, object.version);
        return entry;
    }

    /** After a lost answer the state of the entry is unknown, so it is read again before the next attempt. */
    async function writeEnd(
        batchJobId: BatchJobId,
        entry: BatchJobEntry,
        version: ObjectVersion,
    ): Promise<boolean> {
        entryCache.remove(batchJobId);
        const ended = { ...entry, isEnded: true };
        const outcome = await store.write(entryKey(batchJobId), ended, version);
        if (outcome.kind === "written") {
            entryCache.set(batchJobId, ended, outcome.version);
        }
        return outcome.kind === "written";
    }

    async function tryEnd(
        batchJobId: BatchJobId,
        caller: TeamId | undefined,
    ): Promise<"done" | "unknown" | "raced"> {
        const entry = entryCache.get(batchJobId)?.entry ?? await readEntry(batchJobId);
        const cached = entryCache.get(batchJobId);
        if (entry === undefined || cached === undefined || !mayAccessBatchJob(entry.team, caller)) {
            return "unknown";
        }
        if (entry.isEnded) {
            return "done";
        }
        return await writeEnd(batchJobId, entry, cached.version) ? "done" : "raced";
    }

    /** Returns false if there was no such object. */
    async function removeObject(key: string): Promise<boolean> {
        const object = await store.read(key);
        if (object !== undefined) {
            await store.remove(key, object.version);
        }
        return object !== undefined;
    }

    async function removeChunks(batchJobId: BatchJobId): Promise<void> {
        let number = 0;
        while (await removeObject(chunkKey(batchJobId, number))) {
            number++;
        }
    }

    return {
        remove: async batchJobId => {
            entryCache.remove(batchJobId);
            await removeChunks(batchJobId);
            await removeObject(bodyKey(batchJobId));
            await removeObject(entryKey(batchJobId));
        },
        accept: async (batchJob, submittedAtMs) => {
            if (entryCache.get(batchJob.lot) !== undefined) {
                return;
            }
            await store.write(bodyKey(batchJob.lot), batchJob, absent);
            const { items, team, policy } = batchJob;
            await createEntry(batchJob.lot, {
                total: items.length,
                team,
                submittedAtMs,
                policy,
                expectedTokens: expectedTokensOf(items),
                isEnded: false,
            });
        },
        readEntry,
        readBatchJob: batchJobId => readAs(batchJobSchemas.batchJob, bodyKey(batchJobId)),
        readChunk: (batchJobId, number) => readAs(batchJobSchemas.chunk, chunkKey(batchJobId, number)),
        appendChunk: async (batchJobId, number, chunk) => {
            const key = chunkKey(batchJobId, number);
            const outcome = await store.write(key, chunk, absent);
            return outcome.kind === "written"
                ? chunk
                : parse(batchJobSchemas.chunk, key, outcome.current?.value);
        },
        end: async (batchJobId, caller) => {
            for (let attempts = 0; attempts < maxEndAttempts; attempts++) {
                const outcome = await tryEnd(batchJobId, caller);
                if (outcome !== "raced") {
                    return outcome === "done";
                }
            }
            throw new ResultError(
                resultCodes.storeThrottled,
                `${entryKey(batchJobId)} keeps changing`,
            );
        },
    };
}
