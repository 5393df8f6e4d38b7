import type { Clock } from "@auburnarch/types/Clock";
import type { LogFields } from "@auburnarch/types/LogFields";
import type { Logger } from "@auburnarch/types/Logger";
import logfmt from "logfmt";
import winston from "winston";

/** Receives each finished line, without a line break. */
type LineSink = (line: string) => void;

const dropUndefined = (fields: LogFields): LogFields =>
    Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined));

/**
 * Creates a logger that writes lines of the form `time=… level=… event=… key=value …`. The time is the clock's, in
 * ISO 8601, so that a run with a fake clock always logs the same lines.
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
