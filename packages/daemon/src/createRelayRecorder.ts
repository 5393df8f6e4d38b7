import type { StoreCall } from "@auburnarch/feeds/StoreCall";
import { createLimitedLogger } from "@auburnarch/log/createLimitedLogger";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";

/** A cut-off gateway relays each call of its clients; a few lines show whom it uses and what it gets. */
const maxLinesPerSecond = 5;

/** Creates the function that logs and counts relayed store calls, at the caller as well as at the runner. */
export function createRelayRecorder(
    { clock, logger, metrics }: { clock: Clock; logger: Logger; metrics: Metrics; },
) {
    const limitedLogger = createLimitedLogger(clock, logger, maxLinesPerSecond);
    return (via: string, { call, key }: StoreCall, result: string, tookMs: number): void => {
        const kind = key.slice(0, Math.max(0, key.indexOf("/")));
        metrics.count("store_calls_relayed_total", { call, result });
        limitedLogger.info("storeCallRelayed", { via, call, kind, result, tookMs: Math.round(tookMs) });
    };
}
