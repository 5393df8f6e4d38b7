import { createMedianTime } from "@auburnarch/clock/createMedianTime";
import { createReportedTime } from "@auburnarch/clock/createReportedTime";
import { createBreakExchange } from "@auburnarch/forwarding/createBreakExchange";
import { createBreakRegistry } from "@auburnarch/forwarding/createBreakRegistry";
import { createLimitedLogger } from "@auburnarch/log/createLimitedLogger";
import { createStartCountRegistry } from "@auburnarch/usage/createStartCountRegistry";
import { createStartMeter } from "@auburnarch/usage/createStartMeter";
import type { FeedExtras } from "./FeedExtras.js";
import type { RoleContext } from "./RoleContext.js";

/** Interval of the metric for the offset between the local clock and true time. */
const clockMetricIntervalMs = 1_000;
/** Lines about reports of other processes; many contents break off together when samplers are cut off. */
const maxBreakLinesPerSecond = 40;

/**
 * Creates the state that a process exchanges along with changes of the store. Gateways count starting requests and
 * receive the true time; runners derive it from their clocks and store the counts.
 */
export function createFeedExtras({ settings, clock, random, metrics, logger }: RoleContext): FeedExtras {
    const { role, usage } = settings;
    const isRunner = role === "runner";
    const trueTime = isRunner ? createMedianTime(clock) : createReportedTime(clock);
    const source = random.fork().nextId();
    const meter = usage === undefined || isRunner
        ? undefined
        : createStartMeter({ source, windowMs: usage.windowS * 1_000, trueTime, clock });

    function recordClockOffset(): void {
        metrics.set("clock_ahead_of_true_time_ms", {}, clock.wallMs() - trueTime.nowMs());
        clock.startTimer(clockMetricIntervalMs, recordClockOffset);
    }

    const breakLogger = createLimitedLogger(clock, logger, maxBreakLinesPerSecond);
    const breaks = createBreakRegistry(clock, breakLogger);
    if (usage !== undefined) {
        recordClockOffset();
    }
    return {
        breaks,
        breakExchange: createBreakExchange(settings.name, breaks),
        trueTime,
        meter,
        starts: usage === undefined || !isRunner ? undefined : createStartCountRegistry(clock),
    };
}
