import { codeOf } from "@auburnarch/errors/codeOf";
import type { Clock } from "@auburnarch/types/Clock";
import type { TrainerReport } from "./TrainerReport.js";

/** Calls until it is answered; undefined once `signal` is aborted. */
type RetryCall = <T>(call: () => Promise<T>, signal: AbortSignal) => Promise<T | undefined>;

/** A retry loop for calls that may all be repeated: an error says nothing on their effect. */
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
