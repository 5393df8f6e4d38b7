import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { StepSpec } from "@auburnarch/types/StepSpec";
import type { Authority } from "./Authority.js";
import { createSerialQueue } from "./createSerialQueue.js";
import { digestOf } from "./digestOf.js";
import type { IntentWriter } from "./IntentWriter.js";
import type { JobState } from "./JobState.js";
import type { JobStore } from "./JobStore.js";
import { promptsSchema } from "./promptsSchema.js";
import type { StepDocument } from "./StepDocument.js";
import type { StepRegistry } from "./StepRegistry.js";

const maxWaitingChanges = 16;
const maxGroups = 65_536;
const retryAfterMs = 1_000;

interface IntentWriterDeps {
    state: JobState;
    authority: Authority;
    jobStore: JobStore;
    steps: StepRegistry;
    clock: Clock;
    /** Called with the weights stored in the object API after a write. */
    onWeights: (weights: PublishedWeights) => void;
}

const badRequest = (detail: string): ResultError => new ResultError(resultCodes.badRequest, detail);

const isCount = (value: number): boolean => Number.isSafeInteger(value) && value >= 0;

/** Creates the writer of a trainer's intent: one durable change at a time, refused while the lease is not held. */
export function createIntentWriter(deps: IntentWriterDeps): IntentWriter {
    const { state, authority, jobStore, steps, clock } = deps;
    const runSerially = createSerialQueue(maxWaitingChanges);

    function throwUnlessLeaseHeld(): void {
        const stopCode = authority.stopCode();
        if (stopCode !== undefined) {
            throw new ResultError(stopCode, "", retryAfterMs);
        }
        if (!authority.mayAcceptIntent()) {
            throw new ResultError(resultCodes.intentRefused, "the lease is past its time", retryAfterMs);
        }
    }

    function toDocument(spec: StepSpec): StepDocument {
        const prompts = promptsSchema.safeParse(spec.prompts).data ?? [];
        if (!isCount(spec.step) || prompts.length === 0 || prompts.length > maxGroups) {
            throw badRequest(`step: a number from 0, with 1 to ${maxGroups} prompts of positive maxTokens`);
        }
        return {
            step: spec.step,
            digest: digestOf(prompts),
            groupSize: state.job.groupSize,
            needAtMs: spec.needAtMs ?? clock.wallMs() + state.job.stepNeedMs,
            prompts,
        };
    }

    /** True if the step was opened with this content; throws if it was opened with other content or is retired. */
    function isAlreadyOpened(document: StepDocument): boolean {
        const digest = state.steps.get(document.step)?.document.digest ?? state.completed.get(document.step);
        const isRetired = digest === undefined && document.step < state.retiredBelow;
        if (isRetired || (digest !== undefined && digest !== document.digest)) {
            throw new ResultError(resultCodes.stepConflict, `step ${document.step}`);
        }
        return digest !== undefined;
    }

    async function openStep(spec: StepSpec): Promise<void> {
        const document = toDocument(spec);
        throwUnlessLeaseHeld();
        if (isAlreadyOpened(document)) {
            return;
        }
        await runSerially(async () => {
            throwUnlessLeaseHeld();
            if (!isAlreadyOpened(document)) {
                await steps.open(await jobStore.createStep(document));
            }
        });
    }

    async function publishWeights(weights: PublishedWeights): Promise<void> {
        if (weights.policy !== state.job.policy || !isCount(weights.version)) {
            throw badRequest(`weights: a version from 0 of policy ${state.job.policy}`);
        }
        throwUnlessLeaseHeld();
        await runSerially(async () => {
            throwUnlessLeaseHeld();
            const stored = await jobStore.writeWeights(weights);
            deps.onWeights(stored);
            if (stored.version !== weights.version || stored.location !== weights.location) {
                throw new ResultError(resultCodes.versionNotHigher, `published: ${stored.version}`);
            }
        });
    }

    return { openStep, publishWeights };
}
