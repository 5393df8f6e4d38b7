import type { Clock } from "@auburnarch/types/Clock";
import type { LogFields } from "@auburnarch/types/LogFields";
import type { Logger } from "@auburnarch/types/Logger";
import logfmt from "logfmt";
import winston from "winston";

/** Where finished lines go, without the line end. */
type LineSink = (line: string) => void;

const dropUndefined = (fields: LogFields): LogFields =>
    Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined));

/**
 * Makes a logger that writes `time=… level=… event=… key=value …` lines. Time is ISO 8601 from the clock, so a
 * session under a fake clock gives the same lines each time.
 */
export function createLogger(
    clock: Clock,
    sink: LineSink,
    level: "info" | "warn" | "error" = "info",
): Logger {
    const transport = new winston.transports.Console({ log: undefined });
    transport.log = (info: winston.Logform.TransformableInfo, next: () => void) => {
        sink(String(info[Symbol.for("message")]));
        next();
    };
    const line = winston.format.printf(info => {
        const fields = info["fields"] as LogFields;
        const time = new Date(clock.wallMs()).toISOString();
        return logfmt.stringify({
            time,
            level: info.level,
            event: String(info.message),
            ...dropUndefined(fields),
        });
    });
    const root = winston.createLogger({ level, format: line, transports: [transport] });

    const bind = (bound: LogFields): Logger => ({
        info: (event, fields) => void root.info(event, { fields: { ...bound, ...fields } }),
        warn: (event, fields) => void root.warn(event, { fields: { ...bound, ...fields } }),
        error: (event, fields) => void root.error(event, { fields: { ...bound, ...fields } }),
        child: fields => bind({ ...bound, ...fields }),
    });
    return bind({});
}
