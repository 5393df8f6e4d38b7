import type { Clock } from "@auburnarch/types/Clock";
import type { LogFields } from "@auburnarch/types/LogFields";
import type { Logger } from "@auburnarch/types/Logger";

type Write = (event: string, fields: LogFields) => void;

const periodMs = 1_000;

/**
 * Creates a logger that writes at most `maxLinesPerSecond` lines of `inner`. The first line after a second with more
 * than that states how many were left out (`linesLeftOut`).
 */
export function createLimitedLogger(clock: Clock, inner: Logger, maxLinesPerSecond: number): Logger {
    let periodEndMs = -Infinity;
    let written = 0;
    let leftOut = 0;

    function startPeriodIfDue(): void {
        const nowMs = clock.monotonicMs();
        if (nowMs < periodEndMs) {
            return;
        }
        periodEndMs = nowMs + periodMs;
        written = 0;
        if (leftOut > 0) {
            inner.info("linesLeftOut", { lines: leftOut });
            leftOut = 0;
        }
    }

    const limit = (write: Write): Write => (event, fields) => {
        startPeriodIfDue();
        if (written >= maxLinesPerSecond) {
            leftOut++;
            return;
        }
        written++;
        write(event, fields);
    };

    return {
        info: limit(inner.info),
        warn: limit(inner.warn),
        error: limit(inner.error),
        child: fields => createLimitedLogger(clock, inner.child(fields), maxLinesPerSecond),
    };
}
