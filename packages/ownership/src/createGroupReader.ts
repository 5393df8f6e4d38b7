import { countGroups } from "@auburnarch/cursors/countGroups";
import type { CursorState } from "@auburnarch/cursors/CursorState";
import { emptyCursor } from "@auburnarch/cursors/emptyCursor";
import { hasGroup } from "@auburnarch/cursors/hasGroup";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import { createPageIssuer } from "./createPageIssuer.js";
import type { GroupReaderDeps } from "./GroupReaderDeps.js";
import type { OpenStep } from "./OpenStep.js";

const maxWaitMs = 60_000;
const retryAfterMs = 500;

/** Reads ready groups of a step for its trainer. */
type GroupReader = (step: StepNumber, cursor: string | undefined, waitMs: number) => Promise<GroupsPage>;

const isComplete = (cursor: CursorState): boolean => countGroups(cursor) === cursor.groups;

const allGroups = (step: OpenStep): number[] => step.document.prompts.map((_, group) => group);

/**
 * Creates the group reader: a long poll whose cursor is authoritative for the groups that the trainer has. `done`
 * answers a cursor that covers every group; a trainer therefore reads once more after its last groups, and that
 * read acknowledges them.
 */
export function createGroupReader(deps: GroupReaderDeps): GroupReader {
    const { state, codec, authority, producer, clock } = deps;
    const nextPage = createPageIssuer(deps);
    const { job } = state.job;

    function decode(step: number, cursor: string): CursorState {
        const decoded = codec.decode(cursor, job, step);
        if (decoded === undefined) {
            throw new ResultError(resultCodes.cursorInvalid, `step ${step}`);
        }
        if (!authority.checkFencing(decoded.fencing, "cursor")) {
            throw new ResultError(resultCodes.fenced, `step ${step}`);
        }
        return decoded;
    }

    function donePage(cursor: CursorState): GroupsPage {
        return {
            job,
            step: cursor.step as StepNumber,
            fencing: deps.fencing,
            groups: [],
            cursor: codec.encode({ ...cursor, fencing: deps.fencing }),
            done: true,
        };
    }

    function checkStep(
        number: number,
        step: OpenStep | undefined,
        cursor: CursorState | undefined,
    ): OpenStep {
        if (step === undefined) {
            throw new ResultError(resultCodes.unknownStep, `step ${number}`);
        }
        if (cursor !== undefined && cursor.groups !== step.document.prompts.length) {
            throw new ResultError(resultCodes.cursorInvalid, `step ${number}`);
        }
        return step;
    }

    function acknowledge(step: OpenStep, cursor: CursorState): void {
        const newlyDelivered = allGroups(step).filter(group =>
            hasGroup(cursor.delivered, group) && !hasGroup(step.furthestCursor.delivered, group)
        );
        if (newlyDelivered.length > 0 && countGroups(cursor) > countGroups(step.furthestCursor)) {
            step.furthestCursor = cursor;
            producer.withdraw(step, newlyDelivered);
            deps.onAcknowledged(step, cursor, newlyDelivered);
        }
    }

    function emptyPage(cursor: CursorState): GroupsPage {
        return { ...donePage(cursor), done: false };
    }

    function throwIfStopped(): void {
        const stopCode = authority.stopCode();
        if (stopCode !== undefined) {
            throw new ResultError(stopCode, "", retryAfterMs);
        }
    }

    async function pollStep(step: OpenStep, cursor: CursorState, waitMs: number): Promise<GroupsPage> {
        const deadlineMs = clock.monotonicMs() + Math.min(Math.max(0, waitMs), maxWaitMs);
        for (;;) {
            throwIfStopped();
            const page = authority.mayRun() ? nextPage(step, cursor) : undefined;
            if (page !== undefined) {
                return page;
            }
            const remainingMs = deadlineMs - clock.monotonicMs();
            if (remainingMs <= 0 && !authority.mayRun()) {
                throw new ResultError(resultCodes.notOwner, "the lease is past its time", retryAfterMs);
            }
            if (remainingMs <= 0) {
                return emptyPage(cursor);
            }
            await deps.notifier.wait(remainingMs);
        }
    }

    async function confirmCompletion(cursor: CursorState): Promise<GroupsPage> {
        await deps.flushCheckpoint();
        throwIfStopped();
        return donePage(cursor);
    }

    return async (number, encodedCursor, waitMs) => {
        throwIfStopped();
        const decodedCursor = encodedCursor === undefined ? undefined : decode(number, encodedCursor);
        const knownStep = state.steps.get(number) ?? await deps.findStep(number);
        if (knownStep === undefined && decodedCursor !== undefined && isComplete(decodedCursor)) {
            return donePage(decodedCursor);
        }
        const step = checkStep(number, knownStep, decodedCursor);
        const cursor = decodedCursor ?? emptyCursor(job, number, step.document.prompts.length, deps.fencing);
        acknowledge(step, cursor);
        if (isComplete(cursor)) {
            return confirmCompletion(cursor);
        }
        producer.requestMissing(step, allGroups(step).filter(group => !hasGroup(cursor.delivered, group)));
        return pollStep(step, cursor, waitMs);
    };
}
