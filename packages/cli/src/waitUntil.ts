import type { CliIo } from "./CliIo.js";
import { createProgress } from "./createProgress.js";
import { OperatorFailure } from "./OperatorFailure.js";

const pollMs = 500;

/** State of a wait: whether it is finished, and the progress to show until then. */
interface Observed {
    done: boolean;
    progress: string;
}

/** Polls every half second until done; false after `limitMs`. Errors returned by the entry do not end the wait. */
export async function waitUntil(
    io: CliIo,
    limitMs: number,
    observe: () => Promise<Observed>,
): Promise<boolean> {
    const progress = createProgress(io);
    const endMs = io.clock.monotonicMs() + limitMs;
    try {
        for (;;) {
            const observed = await observe().catch((error: unknown) => {
                if (!(error instanceof OperatorFailure)) {
                    throw error;
                }
                return { done: false, progress: error.message };
            });
            progress.show(observed.progress);
            if (observed.done) {
                return true;
            }
            if (io.clock.monotonicMs() >= endMs) {
                return false;
            }
            await io.clock.sleep(pollMs);
        }
    }
    finally {
        progress.finish();
    }
}
