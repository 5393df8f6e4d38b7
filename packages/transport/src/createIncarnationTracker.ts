import type { IncarnationId } from "@auburnarch/types/IncarnationId";

interface IncarnationTracker {
    /** Notes the incarnation an answer came from. */
    record(incarnation: string | string[] | undefined): void;
    current(): IncarnationId | undefined;
}

/**
 * Remembers which incarnation of a sidecar answered last. An attempt is counted as sent to that one: if it is
 * another by the time a broken connection is asked about, nobody can vouch for the attempt.
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
