import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { BreakRegistry } from "./BreakRegistry.js";

interface SeenRecords {
    /** Adds a record in the store that this process wrote or read. */
    add(content: ContentDigest, version: ObjectVersion): void;
    forget(content: ContentDigest): void;
    has(content: ContentDigest): boolean;
}

const checkIntervalMs = 2_000;

/**
 * Creates the list of stored records that one process has seen. A content may be cleared by other attempts than its
 * trial, and its record would outlive that knowledge; so it is removed once no break of the content counts here.
 */
export function createSeenRecords(
    breaks: Pick<BreakRegistry, "countBreaks">,
    clock: Clock,
    remove: (content: ContentDigest, version: ObjectVersion) => Promise<void>,
): SeenRecords {
    const versions = new Map<ContentDigest, ObjectVersion>();
    let isChecking = false;

    function check(): void {
        for (const [content, version] of versions) {
            if (breaks.countBreaks(content) === 0) {
                versions.delete(content);
                void remove(content, version);
            }
        }
        isChecking = versions.size > 0;
        if (isChecking) {
            clock.startTimer(checkIntervalMs, check);
        }
    }

    return {
        add: (content, version) => {
            versions.set(content, version);
            if (!isChecking) {
                isChecking = true;
                clock.startTimer(checkIntervalMs, check);
            }
        },
        has: content => versions.has(content),
        forget: content => void versions.delete(content),
    };
}
