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
import { createStepRecords } from "./createStepRecords.js";
import type { JobStore } from "./JobStore.js";
import type { OwnerGuards } from "./OwnerGuards.js";
import { weightsRecordSchema } from "./weightsRecordSchema.js";

interface JobStoreDeps {
    store: ObjectStore;
    job: JobId;
    fencing: FencingNumber;
    guards: Pick<OwnerGuards, "isHigherVersion">;
    noteFencing: (seen: number, where: string) => boolean;
}

type WeightsRecord = z.infer<typeof weightsRecordSchema>;

const retryAfterMs = 1_000;

/** Makes a job's durable state under its keys `jobs/<job>/…`. */
export function createJobStore(deps: JobStoreDeps): JobStore {
    const { store, job, fencing, guards } = deps;
    const steps = createStepRecords(store, job);
    const weightsKey = `jobs/${job}/weights`;

    const weightsObject = createFencedObject<WeightsRecord>({
        store,
        key: weightsKey,
        parse: value => weightsRecordSchema.safeParse(value).data,
        fencingOf: value => value.fencing,
        noteFencing: seen => deps.noteFencing(seen, "weights"),
    });
    const checkpointObject = createFencedObject<Checkpoint>({
        store,
        key: `jobs/${job}/checkpoint`,
        parse: value => checkpointSchema.safeParse(value).data,
        fencingOf: value => value.fencing,
        noteFencing: seen => deps.noteFencing(seen, "checkpoint"),
    });

    async function claim(): ReturnType<JobStore["claim"]> {
        const weights = await weightsObject.update(standing => ({ fencing, published: standing?.published }));
        const checkpoint = await checkpointObject.update(standing => ({
            completed: standing?.completed ?? [],
            retiredBelow: standing?.retiredBelow ?? 0,
            deliveredEngineMs: standing?.deliveredEngineMs ?? 0,
            deliveredSamples: standing?.deliveredSamples ?? 0,
            deliveredTokens: standing?.deliveredTokens ?? 0,
            discardedEngineMs: standing?.discardedEngineMs ?? 0,
            cursors: standing?.cursors ?? [],
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
        const { value } = await weightsObject.update(standing => {
            const standingVersion = standing?.published?.version ?? -1;
            const isHigher = guards.isHigherVersion(weights.version, standingVersion);
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
