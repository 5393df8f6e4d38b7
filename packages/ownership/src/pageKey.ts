import type { CursorState } from "@auburnarch/cursors/CursorState";

/** Key of a page by its cursor's content: equal cursors get the same page, whichever owner issued them. */
export function pageKey(cursor: CursorState): string {
    return `${Buffer.from(cursor.delivered).toString("base64url")}/${cursor.engineMs}`;
}
