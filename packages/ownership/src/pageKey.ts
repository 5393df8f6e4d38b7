import type { CursorState } from "@auburnarch/cursors/CursorState";

/** Two cursors that say the same get the same page, whoever issued them. */
export function pageKey(cursor: CursorState): string {
    return `${Buffer.from(cursor.delivered).toString("base64url")}/${cursor.engineMs}`;
}
