import { countGroups } from "@auburnarch/cursors/countGroups";
import type { CursorState } from "@auburnarch/cursors/CursorState";
import { emptyCursor } from "@auburnarch/cursors/emptyCursor";
import { hasGroup } from "@auburnarch/cursors/hasGroup";
import { codeOf } from "@auburnarch/errors/codeOf";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { Logger } from "@auburnarch/types/Logger";
import type { Checkpointer } from "./Checkpointer.js";
import { createOpenStep } from "./createOpenStep.js";
import type { GroupBackup } from "./GroupBackup.js";
import type { JobState } from "./JobState.js";
import type { JobStore } from "./JobStore.js";
import type { OpenStep } from "./OpenStep.js";
import type { OwnerGuards } from "./OwnerGuards.js";
import type { SampleProducer } from "./SampleProducer.js";
import type { StepDocument } from "./StepDocument.js";
import type { StepRegistry } from "./StepRegistry.js";

const maxCompletedSteps = 256;

interface StepRegistryDeps {
    state: JobState;
    fencing: FencingNumber;
    guards: OwnerGuards;
    jobStore: JobStore;
    groupBackup: GroupBackup;
    producer: SampleProducer;
    checkpointer: Checkpointer;
    logger: Logger;
    /** Completed steps whose objects are already removed. */
    alreadyRemoved: Iterable<number>;
}

const groupsOf = (step: OpenStep): number[] => step.document.prompts.map((_, group) => group);

/** Creates the registry of a job's steps on top of the shared job state. */
export function createStepRegistry(deps: StepRegistryDeps): StepRegistry {
    const { state, groupBackup, producer, logger } = deps;
    const removed = new Set(deps.alreadyRemoved);
    const opening = new Map<number, Promise<OpenStep>>();

    const isFinished = (step: number): boolean => state.completed.has(step) || step < state.retiredBelow;

    async function addStep(document: StepDocument, furthest: CursorState | undefined): Promise<OpenStep> {
        const initialCursor = emptyCursor(
            state.job.job,
            document.step,
            document.prompts.length,
            deps.fencing,
        );
        const step = createOpenStep(document, furthest ?? initialCursor, deps.guards);
        await groupBackup.restore(step);
        state.steps.set(document.step, step);
        const wanted = groupsOf(step).filter(group => !hasGroup(step.furthestCursor.delivered, group));
        logger.info("stepOpened", {
            step: document.step,
            groups: document.prompts.length,
            wanted: wanted.length,
            made: step.ledger.size(),
        });
        producer.requestMissing(step, wanted);
        return step;
    }

    function open(document: StepDocument, furthest?: CursorState): Promise<OpenStep> {
        const known = state.steps.get(document.step);
        if (known !== undefined) {
            return Promise.resolve(known);
        }
        const openingStep = opening.get(document.step)
            ?? addStep(document, furthest).finally(() => opening.delete(document.step));
        opening.set(document.step, openingStep);
        return openingStep;
    }

    async function find(number: number): Promise<OpenStep | undefined> {
        const known = state.steps.get(number) ?? await opening.get(number);
        if (known !== undefined || isFinished(number)) {
            return known;
        }
        const document = await deps.jobStore.readStep(number);
        return document === undefined || isFinished(number) ? undefined : open(document);
    }

    function evictOldestCompleted(): void {
        if (state.completed.size <= maxCompletedSteps) {
            return;
        }
        const oldest = Math.min(...state.completed.keys());
        state.completed.delete(oldest);
        removed.delete(oldest);
        state.retiredBelow = Math.max(state.retiredBelow, oldest + 1);
    }

    function complete(step: OpenStep, cursor: CursorState): void {
        const { step: number, digest } = step.document;
        state.steps.delete(number);
        state.completed.set(number, digest);
        state.completedEngineMs += cursor.engineMs;
        state.completedSamples += cursor.samples;
        state.completedTokens += cursor.tokens;
        evictOldestCompleted();
        logger.info("stepCompleted", { step: number, samples: cursor.samples, engineMs: cursor.engineMs });
        groupBackup.drop(step, groupsOf(step));
        void deps.checkpointer.flush();
    }

    function acknowledge(step: OpenStep, cursor: CursorState, groups: number[]): void {
        deps.checkpointer.markChanged();
        groupBackup.drop(step, groups);
        if (countGroups(cursor) === cursor.groups) {
            complete(step, cursor);
        }
    }

    async function removeFinished(steps: readonly number[]): Promise<void> {
        const finished = steps.filter(step => isFinished(step) && !removed.has(step));
        finished.forEach(step => removed.add(step));
        for (const step of finished) {
            try {
                await deps.jobStore.removeStep(step);
            }
            catch (error) {
                // The next owner finds the step in its list and removes it.
                logger.warn("stepRemovalFailed", { step, code: codeOf(error).number });
            }
        }
    }

    return { open, find, acknowledge, removeFinished };
}
