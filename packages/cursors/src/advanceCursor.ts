import type { SampleGroup } from "@auburnarch/types/SampleGroup";
import { addGroups } from "./addGroups.js";
import type { CursorState } from "./CursorState.js";

/** Returns `cursor` with the groups of `page` marked as received, issued under `fencing`. */
export function advanceCursor(
    cursor: CursorState,
    page: readonly SampleGroup[],
    fencing: number,
): CursorState {
    const samples = page.flatMap(group => group.samples);
    return {
        ...cursor,
        fencing,
        delivered: addGroups(cursor.delivered, page.map(group => group.group)),
        samples: cursor.samples + samples.length,
        tokens: cursor.tokens + samples.reduce((sum, sample) => sum + sample.tokens, 0),
        engineMs: cursor.engineMs + samples.reduce((sum, sample) => sum + sample.engineMs, 0),
    };
}
