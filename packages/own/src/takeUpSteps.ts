import type { CursorCodec } from "@auburnarch/deliver/CursorCodec";
import type { ClaimedState } from "./ClaimedState.js";
import type { JobState } from "./JobState.js";
import type { StepBook } from "./StepBook.js";

interface TakeUpDeps {
    claimed: ClaimedState;
    state: JobState;
    codec: CursorCodec;
    book: StepBook;
}

/** Opens the steps that the last owner left, each from the furthest cursor it had noted, and removes finished ones. */
export async function takeUpSteps(deps: TakeUpDeps): Promise<void> {
    const { claimed, state, codec, book } = deps;
    const cursors = new Map(claimed.checkpoint.cursors.map(({ step, cursor }) => [step, cursor]));
    const isOver = (step: number): boolean => state.completed.has(step) || step < state.retiredBelow;
    void book.removeOver(claimed.storedSteps);
    const open = claimed.steps.filter(document => !isOver(document.step));
    await Promise.all(open.map(document => {
        const cursor = cursors.get(document.step);
        const furthest = cursor === undefined
            ? undefined
            : codec.decode(cursor, state.job.job, document.step);
        return book.open(document, furthest);
    }));
}
