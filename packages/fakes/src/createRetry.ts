import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { TrainerReport } from "./TrainerReport.js";

/** Repeats a call until it succeeds; resolves with undefined once `signal` is aborted. */
type RetryCall = <T>(call: () => Promise<T>, signal: AbortSignal) => Promise<T | undefined>;

/** Creates a retry loop for idempotent calls, which may have taken effect although they rejected. */
export function createRetry(clock: Clock, retryMs: number, report: TrainerReport): RetryCall {
    return async (call, signal) => {
        while (!signal.aborted) {
            try {
                return await call();
            }
            catch (error) {
                const { name } = codeOf(error);
                report.retries[name] = (report.retries[name] ?? 0) + 1;
                await clock.sleep(retryMs, signal);
            }
        }
        return undefined;
    };
}
