import type { PendingPart } from "./PendingPart.js";

type PlannedPart = Pick<PendingPart, "lot" | "holder" | "events" | "bytes">;

interface CopyPlanInput<T extends PlannedPart> {
    parts: readonly T[];
    /** Bytes that may be sent now. */
    budgetBytes: number;
    /** Limit of the parts of one message. */
    maxMessageBytes: number;
}

/**
 * Plans messages to holders. Each message has parts of one batch job and goes to one holder. The longest texts come first, since they
 * cost the most to generate again; what exceeds the budget is left for the next time.
 */
export function planCopyMessages<T extends PlannedPart>(
    { parts, budgetBytes, maxMessageBytes }: CopyPlanInput<T>,
): T[][] {
    const messages: { bytes: number; parts: T[]; }[] = [];
    const openMessages = new Map<string, { bytes: number; parts: T[]; }>();
    let remainingBytes = budgetBytes;
    for (const part of [...parts].sort((a, b) => b.events - a.events)) {
        if (part.bytes > maxMessageBytes) {
            continue;
        }
        if (part.bytes > remainingBytes) {
            break;
        }
        remainingBytes -= part.bytes;
        const target = `${part.holder}\n${part.lot}`;
        let message = openMessages.get(target);
        if (message === undefined || message.bytes + part.bytes > maxMessageBytes) {
            message = { bytes: 0, parts: [] };
            openMessages.set(target, message);
            messages.push(message);
        }
        message.bytes += part.bytes;
        message.parts.push(part);
    }
    return messages.map(message => message.parts);
}
