import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { Random } from "@auburnarch/types/Random";
import { backoffMs } from "./backoffMs.js";
import type { Checkpoint } from "./Checkpoint.js";
import type { Checkpointer } from "./Checkpointer.js";

const batchMs = 5_000;
const firstBackoffMs = 500;
const maxBackoffMs = 30_000;

interface CheckpointerDeps {
    clock: Clock;
    random: Random;
    logger: Logger;
    build: () => Checkpoint;
    write: (checkpoint: Checkpoint) => Promise<void>;
}

/**
 * Creates the writer of checkpoints: one write at a time, at most one every 5 s unless flushed, with backoff and
 * jitter after a failure.
 */
export function createCheckpointer(deps: CheckpointerDeps): Checkpointer {
    const { clock, random, logger } = deps;
    const closed = new AbortController();
    let changeCount = 0;
    let durableCount = 0;
    let failures = 0;
    let isWriting = false;
    let cancelTimer: (() => void) | undefined;
    let waiters: { changeCount: number; resolve: () => void; }[] = [];

    function resolveWaiters(): void {
        const resolvable = waiters.filter(waiter =>
            waiter.changeCount <= durableCount || closed.signal.aborted
        );
        waiters = waiters.filter(waiter => !resolvable.includes(waiter));
        resolvable.forEach(waiter => waiter.resolve());
    }

    async function write(): Promise<void> {
        const writtenCount = changeCount;
        isWriting = true;
        try {
            await deps.write(deps.build());
            durableCount = writtenCount;
            failures = 0;
        }
        catch (error) {
            failures++;
            const code = codeOf(error);
            logger.warn("checkpointFailed", { code: code.number, name: code.name, failures });
            if (code.number === resultCodes.fenced.number) {
                closed.abort();
            }
        }
        isWriting = false;
        resolveWaiters();
        schedule(waiters.length > 0 && failures === 0 ? 0 : batchMs);
    }

    function schedule(delayMs: number): void {
        if (closed.signal.aborted || isWriting || changeCount === durableCount) {
            return;
        }
        if (cancelTimer !== undefined && (delayMs > 0 || failures > 0)) {
            return;
        }
        cancelTimer?.();
        const waitMs = failures > 0 ? backoffMs(failures, firstBackoffMs, maxBackoffMs, random) : delayMs;
        cancelTimer = clock.startTimer(waitMs, () => {
            cancelTimer = undefined;
            void write();
        });
    }

    function markChanged(): void {
        changeCount++;
        schedule(batchMs);
    }

    function flush(): Promise<void> {
        if (changeCount === durableCount || closed.signal.aborted) {
            return Promise.resolve();
        }
        const flushed = new Promise<void>(resolve => waiters.push({ changeCount, resolve }));
        schedule(0);
        return flushed;
    }

    function close(): void {
        closed.abort();
        cancelTimer?.();
        resolveWaiters();
    }

    return { markChanged, flush, close };
}
