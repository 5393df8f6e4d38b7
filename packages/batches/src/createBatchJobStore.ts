import { attemptChange } from "@auburnarch/errors/attemptChange";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { z } from "zod";
import type { BatchJob } from "./BatchJob.js";
import type { BatchJobEntry } from "./BatchJobEntry.js";
import type { BatchJobId } from "./BatchJobId.js";
import type { BatchJobItem } from "./BatchJobItem.js";
import { batchJobKinds } from "./batchJobKinds.js";
import { batchJobSchemas } from "./batchJobSchemas.js";
import type { BatchJobStore } from "./BatchJobStore.js";
import type { ChangeOutcome } from "./ChangeOutcome.js";
import { createEntryCache } from "./createEntryCache.js";
import { createUnresolvedChanges } from "./createUnresolvedChanges.js";
import { mayAccessBatchJob } from "./mayAccessBatchJob.js";
import { removeObject } from "./removeObject.js";

interface Absent {
    kind: "absent";
}

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
 * Resolves an unknown outcome by a read that finds what was written. Nothing else resolves it: neither a read that fails,
 * nor one that finds nothing, since the write may still arrive.
 */
async function settleByRead(
    unknown: { kind: "unknown"; error: unknown; },
    read: () => Promise<object | undefined>,
): Promise<ChangeOutcome> {
    try {
        return await read() === undefined ? unknown : { kind: "done" };
    }
    catch (readBackError) {
        return { ...unknown, readBackError };
    }
}

/** Removes the last chunk first: the remaining ones are found by their consecutive numbers after an interruption. */
async function removeChunks(store: ObjectStore, keyOf: (number: number) => string): Promise<void> {
    const versions: ObjectVersion[] = [];
    for (let chunk = await store.read(keyOf(0)); chunk !== undefined;) {
        versions.push(chunk.version);
        chunk = await store.read(keyOf(versions.length));
    }
    for (let number = versions.length - 1; number >= 0; number--) {
        await store.remove(keyOf(number), versions[number]!);
    }
}

/**
 * Creates the store of batch jobs. All its objects are created once and never changed, except that an entry is marked
 * as ended.
 */
export function createBatchJobStore(store: ObjectStore): BatchJobStore {
    const entryCache = createEntryCache();
    const acceptances = createUnresolvedChanges();
    const ends = createUnresolvedChanges();
    const entryKey = (batchJobId: BatchJobId): string => `${batchJobKinds.entries}/${batchJobId}`;
    const bodyKey = (batchJobId: BatchJobId): string => `${batchJobKinds.bodies}/${batchJobId}`;
    const chunkKey = (batchJobId: BatchJobId, number: number): string =>
        `${batchJobKinds.results}/${batchJobId}.${number}`;

    async function readAs<T>(schema: z.ZodType<T>, key: string): Promise<T | undefined> {
        const object = await store.read(key);
        return object === undefined ? undefined : parse(schema, key, object.value);
    }

    function cacheEntry(batchJobId: BatchJobId, object: StoredObject): BatchJobEntry {
        const entry = parse(batchJobSchemas.entry, object.key, object.value);
        entryCache.set(batchJobId, entry, object.version);
        return entry;
    }

    async function readEntry(batchJobId: BatchJobId): Promise<BatchJobEntry | undefined> {
        const object = await store.read(entryKey(batchJobId));
        if (object === undefined) {
            entryCache.remove(batchJobId);
            return undefined;
        }
        return cacheEntry(batchJobId, object);
    }

    /** A batch job exists once its entry does, so an unknown outcome of this write is resolved by a read that finds it. */
    async function createEntry(batchJobId: BatchJobId, entry: BatchJobEntry): Promise<ChangeOutcome> {
        const attempted = await attemptChange(() => store.write(entryKey(batchJobId), entry, absent));
        if (attempted.kind === "unknown") {
            return settleByRead(attempted, () => readEntry(batchJobId));
        }
        if (attempted.kind === "refused") {
            return attempted;
        }
        const { answer } = attempted;
        if (answer.kind === "written") {
            entryCache.set(batchJobId, entry, answer.version);
            return { kind: "done" };
        }
        if (answer.current === undefined) {
            const error = new ResultError(resultCodes.storeUnavailable, "conflict with an absent object");
            return { kind: "unknown", error };
        }
        cacheEntry(batchJobId, answer.current);
        return { kind: "done" };
    }

    async function createBatchJob(batchJob: BatchJob, submittedAtMs: number): Promise<ChangeOutcome> {
        const body = await attemptChange(() => store.write(bodyKey(batchJob.lot), batchJob, absent));
        if (body.kind !== "answered") {
            return body;
        }
        const { items, team, policy } = batchJob;
        return createEntry(batchJob.lot, {
            total: items.length,
            team,
            submittedAtMs,
            policy,
            expectedTokens: expectedTokensOf(items),
            isEnded: false,
        });
    }

    /** After a lost answer the state of the entry is unknown, so it is read again before the next attempt. */
    async function writeEnd(
        batchJobId: BatchJobId,
        entry: BatchJobEntry,
        version: ObjectVersion,
    ): Promise<ChangeOutcome | { kind: "raced"; }> {
        entryCache.remove(batchJobId);
        const ended = { ...entry, isEnded: true };
        const attempted = await attemptChange(() => store.write(entryKey(batchJobId), ended, version));
        if (attempted.kind !== "answered") {
            return attempted;
        }
        if (attempted.answer.kind === "conflict") {
            return { kind: "raced" };
        }
        entryCache.set(batchJobId, ended, attempted.answer.version);
        return { kind: "done" };
    }

    async function tryEnd(
        batchJobId: BatchJobId,
        caller: TeamId | undefined,
    ): Promise<ChangeOutcome | Absent | { kind: "raced"; }> {
        const entry = entryCache.get(batchJobId)?.entry ?? await readEntry(batchJobId);
        const cached = entryCache.get(batchJobId);
        if (entry === undefined || cached === undefined || !mayAccessBatchJob(entry.team, caller)) {
            return { kind: "absent" };
        }
        return entry.isEnded ? { kind: "done" } : writeEnd(batchJobId, entry, cached.version);
    }

    async function endOnce(
        batchJobId: BatchJobId,
        caller: TeamId | undefined,
    ): Promise<ChangeOutcome | Absent> {
        for (let attempts = 0; attempts < maxEndAttempts; attempts++) {
            const outcome = await tryEnd(batchJobId, caller);
            if (outcome.kind !== "raced") {
                return outcome;
            }
        }
        // Each attempt met another version of the entry, so none of them has changed it.
        throw new ResultError(resultCodes.storeThrottled, `${entryKey(batchJobId)} keeps changing`);
    }

    return {
        remove: async batchJobId => {
            entryCache.remove(batchJobId);
            await removeChunks(store, number => chunkKey(batchJobId, number));
            await removeObject(store, bodyKey(batchJobId));
            await removeObject(store, entryKey(batchJobId));
        },
        accept: async (batchJob, submittedAtMs) =>
            entryCache.get(batchJob.lot) === undefined
                ? acceptances.track<never>(batchJob.lot, () => createBatchJob(batchJob, submittedAtMs))
                : { kind: "done" },
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
        // Per team, so that what one learns of a batch job does not depend on the attempts of another.
        end: (batchJobId, caller) =>
            ends.track<Absent>(`${caller ?? ""}/${batchJobId}`, () => endOnce(batchJobId, caller)),
    };
}
