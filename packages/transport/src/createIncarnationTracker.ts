import type { IncarnationId } from "@auburnarch/types/IncarnationId";

interface IncarnationTracker {
    /** Records the incarnation that an answer came from. */
    record(incarnation: string | string[] | undefined): void;
    current(): IncarnationId | undefined;
}

/**
 * Tracks which incarnation of a sidecar answered last. An attempt counts as sent to that incarnation: if another one
 * answers the query after a broken connection, it cannot prove that the attempt did not run.
 */
export function createIncarnationTracker(): IncarnationTracker {
    let incarnation: IncarnationId | undefined;
    return {
        record: reported => {
            if (typeof reported === "string" && reported !== "") {
                incarnation = reported as IncarnationId;
            }
        },
        current: () => incarnation,
    };
}
