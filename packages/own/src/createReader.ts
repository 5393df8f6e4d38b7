import { countGroups } from "@auburnarch/deliver/countGroups";
import type { CursorState } from "@auburnarch/deliver/CursorState";
import { emptyCursor } from "@auburnarch/deliver/emptyCursor";
import { hasGroup } from "@auburnarch/deliver/hasGroup";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { GroupsPage } from "@auburnarch/types/GroupsPage";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import { createPageIssuer } from "./createPageIssuer.js";
import type { OpenStep } from "./OpenStep.js";
import type { ReaderDeps } from "./ReaderDeps.js";

const maxWaitMs = 60_000;
const retryAfterMs = 500;

/** Reads groups of a step for its trainer. */
type Reader = (step: StepNumber, cursor: string | undefined, waitMs: number) => Promise<GroupsPage>;

const isComplete = (cursor: CursorState): boolean => countGroups(cursor) === cursor.groups;

const allGroups = (step: OpenStep): number[] => step.document.prompts.map((_, group) => group);

/**
 * Makes the reader: a long poll whose cursor is the authority on what the trainer has. `done` answers a cursor that
 * covers every group, so a trainer reads once more after its last groups, and that read acknowledges them.
 */
export function createReader(deps: ReaderDeps): Reader {
    const { state, codec, authority, maker, clock } = deps;
    const nextPage = createPageIssuer(deps);
    const { job } = state.job;

    function decode(step: number, cursor: string): CursorState {
        const decoded = codec.decode(cursor, job, step);
        if (decoded === undefined) {
            throw new ResultError(resultCodes.cursorInvalid, `step ${step}`);
        }
        if (!authority.noteFencing(decoded.fencing, "cursor")) {
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
        const fresh = allGroups(step).filter(group =>
            hasGroup(cursor.delivered, group) && !hasGroup(step.furthest.delivered, group)
        );
        if (fresh.length > 0 && countGroups(cursor) > countGroups(step.furthest)) {
            step.furthest = cursor;
            maker.withdraw(step, fresh);
            deps.onAcknowledged(step, cursor, fresh);
        }
    }

    function emptyPage(cursor: CursorState): GroupsPage {
        return { ...donePage(cursor), done: false };
    }

    function refuseIfStopped(): void {
        const stopped = authority.stoppedBy();
        if (stopped !== undefined) {
            throw new ResultError(stopped, "", retryAfterMs);
        }
    }

    async function pollStep(step: OpenStep, cursor: CursorState, waitMs: number): Promise<GroupsPage> {
        const endMs = clock.monotonicMs() + Math.min(Math.max(0, waitMs), maxWaitMs);
        for (;;) {
            refuseIfStopped();
            const page = authority.mayRun() ? nextPage(step, cursor) : undefined;
            if (page !== undefined) {
                return page;
            }
            const leftMs = endMs - clock.monotonicMs();
            if (leftMs <= 0 && !authority.mayRun()) {
                throw new ResultError(resultCodes.notOwner, "the lease is past its time", retryAfterMs);
            }
            if (leftMs <= 0) {
                return emptyPage(cursor);
            }
            await deps.notifier.wait(leftMs);
        }
    }

    async function finish(cursor: CursorState): Promise<GroupsPage> {
        await deps.whenCompleted();
        refuseIfStopped();
        return donePage(cursor);
    }

    return async (number, cursorText, waitMs) => {
        refuseIfStopped();
        const shown = cursorText === undefined ? undefined : decode(number, cursorText);
        const found = state.steps.get(number) ?? await deps.findStep(number);
        if (found === undefined && shown !== undefined && isComplete(shown)) {
            return donePage(shown);
        }
        const step = checkStep(number, found, shown);
        const cursor = shown ?? emptyCursor(job, number, step.document.prompts.length, deps.fencing);
        acknowledge(step, cursor);
        if (isComplete(cursor)) {
            return finish(cursor);
        }
        maker.want(step, allGroups(step).filter(group => !hasGroup(cursor.delivered, group)));
        return pollStep(step, cursor, waitMs);
    };
}
