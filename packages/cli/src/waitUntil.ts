import type { CliIo } from "./CliIo.js";
import { createProgress } from "./createProgress.js";
import { OperatorFailure } from "./OperatorFailure.js";

const pollMs = 500;

/** State of a wait: finished, or what is shown meanwhile. */
interface Observed {
    done: boolean;
    progress: string;
}

/** Asks every half second until done; false once `limitMs` have passed. An entry that does not answer is asked on. */
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
