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

/** Makes the writer of checkpoints: one at a time, every 5 s at most but for a flush, with backoff and jitter on failure. */
export function createCheckpointer(deps: CheckpointerDeps): Checkpointer {
    const { clock, random, logger } = deps;
    const closed = new AbortController();
    let changes = 0;
    let durable = 0;
    let failures = 0;
    let isWriting = false;
    let cancelTimer: (() => void) | undefined;
    let waiters: { changes: number; resolve: () => void; }[] = [];

    function settle(): void {
        const met = waiters.filter(waiter => waiter.changes <= durable || closed.signal.aborted);
        waiters = waiters.filter(waiter => !met.includes(waiter));
        met.forEach(waiter => waiter.resolve());
    }

    async function write(): Promise<void> {
        const covered = changes;
        isWriting = true;
        try {
            await deps.write(deps.build());
            durable = covered;
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
        settle();
        schedule(waiters.length > 0 && failures === 0 ? 0 : batchMs);
    }

    function schedule(delayMs: number): void {
        if (closed.signal.aborted || isWriting || changes === durable) {
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

    function note(): void {
        changes++;
        schedule(batchMs);
    }

    function flush(): Promise<void> {
        if (changes === durable || closed.signal.aborted) {
            return Promise.resolve();
        }
        const flushed = new Promise<void>(resolve => waiters.push({ changes, resolve }));
        schedule(0);
        return flushed;
    }

    function close(): void {
        closed.abort();
        cancelTimer?.();
        settle();
    }

    return { note, flush, close };
}
