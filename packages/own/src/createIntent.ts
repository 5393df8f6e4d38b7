import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { PublishedWeights } from "@auburnarch/types/PublishedWeights";
import type { StepSpec } from "@auburnarch/types/StepSpec";
import type { Authority } from "./Authority.js";
import { createSerial } from "./createSerial.js";
import { digestOf } from "./digestOf.js";
import type { Intent } from "./Intent.js";
import type { JobState } from "./JobState.js";
import type { JobStore } from "./JobStore.js";
import { promptsSchema } from "./promptsSchema.js";
import type { StepBook } from "./StepBook.js";
import type { StepDocument } from "./StepDocument.js";

const maxWaitingChanges = 16;
const maxGroups = 65_536;
const retryAfterMs = 1_000;

interface IntentDeps {
    state: JobState;
    authority: Authority;
    jobStore: JobStore;
    book: StepBook;
    clock: Clock;
    /** The weights that stand in the object API, once they are known. */
    onWeights: (weights: PublishedWeights) => void;
}

const badRequest = (detail: string): ResultError => new ResultError(resultCodes.badRequest, detail);

const isCount = (value: number): boolean => Number.isSafeInteger(value) && value >= 0;

/** Makes the taker of intent: one durable change at a time, refused while the lease is not held. */
export function createIntent(deps: IntentDeps): Intent {
    const { state, authority, jobStore, book, clock } = deps;
    const inTurn = createSerial(maxWaitingChanges);

    function refuseWithoutLease(): void {
        const stopped = authority.stoppedBy();
        if (stopped !== undefined) {
            throw new ResultError(stopped, "", retryAfterMs);
        }
        if (!authority.mayTakeIntent()) {
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

    /** True if the step stands with this content; throws if it stands with another or is long over. */
    function stands(document: StepDocument): boolean {
        const digest = state.steps.get(document.step)?.document.digest ?? state.completed.get(document.step);
        const isForgotten = digest === undefined && document.step < state.retiredBelow;
        if (isForgotten || (digest !== undefined && digest !== document.digest)) {
            throw new ResultError(resultCodes.stepConflict, `step ${document.step}`);
        }
        return digest !== undefined;
    }

    async function openStep(spec: StepSpec): Promise<void> {
        const document = toDocument(spec);
        refuseWithoutLease();
        if (stands(document)) {
            return;
        }
        await inTurn(async () => {
            refuseWithoutLease();
            if (!stands(document)) {
                await book.open(await jobStore.createStep(document));
            }
        });
    }

    async function publishWeights(weights: PublishedWeights): Promise<void> {
        if (weights.policy !== state.job.policy || !isCount(weights.version)) {
            throw badRequest(`weights: a version from 0 of policy ${state.job.policy}`);
        }
        refuseWithoutLease();
        await inTurn(async () => {
            refuseWithoutLease();
            const standing = await jobStore.writeWeights(weights);
            deps.onWeights(standing);
            if (standing.version !== weights.version || standing.location !== weights.location) {
                throw new ResultError(resultCodes.versionNotHigher, `published: ${standing.version}`);
            }
        });
    }

    return { openStep, publishWeights };
}
