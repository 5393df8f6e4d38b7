import type { IncarnationId } from "@auburnarch/types/IncarnationId";

interface IncarnationMemory {
    /** Notes the incarnation an answer came from. */
    note(incarnation: string | string[] | undefined): void;
    known(): IncarnationId | undefined;
}

/**
 * Remembers which incarnation of a sidecar answered last. An attempt is counted as sent to that one: if it is
 * another by the time a broken connection is asked about, nobody can vouch for the attempt.
 */
export function createIncarnationMemory(): IncarnationMemory {
    let incarnation: IncarnationId | undefined;
    return {
        note: told => {
            if (typeof told === "string" && told !== "") {
                incarnation = told as IncarnationId;
            }
        },
        known: () => incarnation,
    };
}
