import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobId } from "@auburnarch/types/JobId";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { z } from "zod";
import type { Checkpoint } from "./Checkpoint.js";
import { checkpointSchema } from "./checkpointSchema.js";
import { createFencedObject } from "./createFencedObject.js";
import { createStepStore } from "./createStepStore.js";
import type { JobStore } from "./JobStore.js";
import type { OwnerGuards } from "./OwnerGuards.js";
import { weightsRecordSchema } from "./weightsRecordSchema.js";

interface JobStoreDeps {
    store: ObjectStore;
    job: JobId;
    fencing: FencingNumber;
    guards: Pick<OwnerGuards, "isHigherVersion">;
    checkFencing: (seen: number, source: string) => boolean;
}

type WeightsRecord = z.infer<typeof weightsRecordSchema>;

const retryAfterMs = 1_000;

/** Creates the access to a job's durable state under the keys `jobs/<job>/…`. */
export function createJobStore(deps: JobStoreDeps): JobStore {
    const { store, job, fencing, guards } = deps;
    const steps = createStepStore(store, job);
    const weightsKey = `jobs/${job}/weights`;

    const weightsObject = createFencedObject<WeightsRecord>({
        store,
        key: weightsKey,
        parse: value => weightsRecordSchema.safeParse(value).data,
        fencingOf: value => value.fencing,
        checkFencing: seen => deps.checkFencing(seen, "weights"),
    });
    const checkpointObject = createFencedObject<Checkpoint>({
        store,
        key: `jobs/${job}/checkpoint`,
        parse: value => checkpointSchema.safeParse(value).data,
        fencingOf: value => value.fencing,
        checkFencing: seen => deps.checkFencing(seen, "checkpoint"),
    });

    async function claim(): ReturnType<JobStore["claim"]> {
        const weights = await weightsObject.update(stored => ({ fencing, published: stored?.published }));
        const checkpoint = await checkpointObject.update(stored => ({
            completed: stored?.completed ?? [],
            retiredBelow: stored?.retiredBelow ?? 0,
            deliveredEngineMs: stored?.deliveredEngineMs ?? 0,
            deliveredSamples: stored?.deliveredSamples ?? 0,
            deliveredTokens: stored?.deliveredTokens ?? 0,
            discardedEngineMs: stored?.discardedEngineMs ?? 0,
            cursors: stored?.cursors ?? [],
            fencing,
        }));
        return {
            weights: weights.value?.published as PublishedWeights | undefined,
            checkpoint: checkpoint.value!,
            ...await steps.list(checkpoint.version),
        };
    }

    async function writeWeights(weights: PublishedWeights): Promise<PublishedWeights> {
        await store.read(weightsKey).catch((error: unknown) => {
            throw new ResultError(resultCodes.intentRefused, codeOf(error).name, retryAfterMs);
        });
        const { value } = await weightsObject.update(stored => {
            const storedVersion = stored?.published?.version ?? -1;
            const isHigher = guards.isHigherVersion(weights.version, storedVersion);
            return isHigher ? { fencing, published: weights } : undefined;
        });
        return value!.published as PublishedWeights;
    }

    return {
        claim,
        createStep: steps.create,
        readStep: steps.read,
        removeStep: steps.remove,
        writeWeights,
        writeCheckpoint: async checkpoint => {
            await checkpointObject.update(() => checkpoint);
        },
    };
}
