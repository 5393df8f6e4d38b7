import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";

interface CopySummary {
    /** Records a message that its holder has answered. */
    record(holder: string, items: number, bytes: number): void;
    /** Records a message without an answer; only the first of a series is logged. */
    recordFailure(holder: string, name: string): void;
    /** Writes the summary if one is due. */
    writeIfDue(): void;
}

const intervalMs = 10_000;

/** Creates the log lines about sent copies: a summary every ten seconds, and a line when a holder stops answering. */
export function createCopySummary(clock: Clock, logger: Logger): CopySummary {
    const failingHolders = new Set<string>();
    let sent = { items: 0, bytes: 0, holders: new Set<string>() };
    let dueAtMs = clock.monotonicMs() + intervalMs;

    return {
        record: (holder, items, bytes) => {
            failingHolders.delete(holder);
            sent.items += items;
            sent.bytes += bytes;
            sent.holders.add(holder);
        },
        recordFailure: (holder, name) => {
            if (!failingHolders.has(holder)) {
                failingHolders.add(holder);
                logger.warn("textsNotCopied", { holder, name });
            }
        },
        writeIfDue: () => {
            if (clock.monotonicMs() < dueAtMs) {
                return;
            }
            dueAtMs = clock.monotonicMs() + intervalMs;
            const { items, bytes, holders } = sent;
            sent = { items: 0, bytes: 0, holders: new Set() };
            if (items > 0) {
                logger.info("textsCopied", { items, bytes, holders: [...holders].sort().join(",") });
            }
        },
    };
}
