import { attemptChange } from "@auburnarch/errors/attemptChange";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { JobId } from "@auburnarch/types/JobId";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { StoredObject } from "@auburnarch/types/StoredObject";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";
import { promptsSchema } from "./promptsSchema.js";
import { splitPrompts } from "./splitPrompts.js";
import type { StepDocument } from "./StepDocument.js";
import { stepRecordSchema } from "./stepRecordSchema.js";
import type { StepStore } from "./StepStore.js";

const absent = 0 as ObjectVersion;
const maxAttempts = 3;
const retryAfterMs = 1_000;

/**
 * Creates the store of a job's steps. `jobs/<job>/steps/<step>` is the commit object of a step,
 * `…/<step>/<digest>/<chunk>` hold its prompts. A step exists once its commit object does.
 */
export function createStepStore(store: ObjectStore, job: JobId): StepStore {
    const stepsPrefix = `jobs/${job}/steps/`;
    const stepKey = (step: number): string => `${stepsPrefix}${step}`;
    // The key contains the digest, so that chunks of two owners that open a step with different prompts can't mix.
    const chunkKey = (step: number, digest: string, chunk: number): string =>
        `${stepKey(step)}/${digest}/${chunk}`;

    function assemble(record: StoredObject, chunkOf: (key: string) => unknown): StepDocument | undefined {
        const parsed = stepRecordSchema.safeParse(record.value).data;
        if (parsed === undefined) {
            return undefined;
        }
        const { chunks, ...rest } = parsed;
        const keys = Array.from({ length: chunks }, (_, chunk) => chunkKey(rest.step, rest.digest, chunk));
        const lists = keys.map(key => promptsSchema.safeParse(chunkOf(key)).data);
        const prompts = lists.flatMap(list => list ?? []);
        return lists.includes(undefined) ? undefined : { ...rest, prompts };
    }

    const stepOfKey = (key: string): number => Number.parseInt(key.slice(stepsPrefix.length), 10);

    async function list(
        writtenVersion: number,
    ): Promise<{ steps: StepDocument[]; storedSteps: number[]; }> {
        const { objects, revision } = await store.list(stepsPrefix);
        // A lagging replica may omit recent steps; an omitted step would not resume until its trainer reads it.
        if (revision < writtenVersion) {
            throw new ResultError(resultCodes.storeUnavailable, "the list of steps is older than the claim");
        }
        const byKey = new Map(objects.map(object => [object.key, object]));
        const steps = objects
            .filter(object => !object.key.slice(stepsPrefix.length).includes("/"))
            .flatMap(object => assemble(object, key => byKey.get(key)?.value) ?? []);
        return { steps, storedSteps: [...new Set(objects.map(object => stepOfKey(object.key)))] };
    }

    async function read(step: number): Promise<StepDocument | undefined> {
        const record = await store.read(stepKey(step));
        if (record === undefined) {
            return undefined;
        }
        const { objects } = await store.list(`${stepKey(step)}/`);
        const byKey = new Map(objects.map(object => [object.key, object.value]));
        return assemble(record, key => byKey.get(key));
    }

    /** Writes all chunks before the commit object; if this fails, the step does not exist. */
    async function writeChunks(document: StepDocument): Promise<number> {
        const chunks = splitPrompts(document.prompts);
        try {
            for (const [index, chunk] of chunks.entries()) {
                // A conflict means that the same content is already stored.
                await store.write(chunkKey(document.step, document.digest, index), chunk, absent);
            }
        }
        catch (error) {
            throw new ResultError(resultCodes.intentRefused, codeOf(error).name, retryAfterMs);
        }
        return chunks.length;
    }

    async function writeStepRecord(key: string, record: unknown): Promise<WriteOutcome> {
        let unknownError: unknown;
        for (let attempts = 1; attempts <= maxAttempts; attempts++) {
            const attempted = await attemptChange(() => store.write(key, record, absent));
            if (attempted.kind === "answered") {
                return attempted.answer;
            }
            if (attempted.kind === "unknown") {
                // The write may have taken effect; the next attempt then gets a conflict with the same content.
                unknownError = attempted.error;
            }
            else if (unknownError === undefined) {
                throw new ResultError(resultCodes.intentRefused, "storeThrottled", retryAfterMs);
            }
        }
        throw unknownError;
    }

    async function create(document: StepDocument): Promise<StepDocument> {
        const { prompts: _, ...rest } = document;
        const chunks = await writeChunks(document);
        const outcome = await writeStepRecord(stepKey(rest.step), { ...rest, chunks });
        if (outcome.kind === "written") {
            return document;
        }
        const stored = stepRecordSchema.safeParse(outcome.current?.value).data;
        if (stored?.digest !== rest.digest) {
            throw new ResultError(resultCodes.stepConflict, `step ${rest.step}`);
        }
        return { ...document, groupSize: stored.groupSize, needAtMs: stored.needAtMs };
    }

    async function remove(step: number): Promise<void> {
        const record = await store.read(stepKey(step));
        if (record !== undefined) {
            await store.remove(record.key, record.version);
        }
        const { objects } = await store.list(`${stepKey(step)}/`);
        for (const object of objects) {
            await store.remove(object.key, object.version);
        }
    }

    return { list, create, read, remove };
}
