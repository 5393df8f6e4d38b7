import type { CursorState } from "./CursorState.js";
import { hasGroup } from "./hasGroup.js";

/** Number of groups that the cursor's trainer has received. */
export function countGroups(cursor: CursorState): number {
    let count = 0;
    for (let group = 0; group < cursor.groups; group++) {
        count += hasGroup(cursor.delivered, group) ? 1 : 0;
    }
    return count;
}
