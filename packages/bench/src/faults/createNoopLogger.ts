import type { Logger } from "@auburnarch/types/Logger";

/** Creates a logger that discards everything. */
export function createNoopLogger(): Logger {
    const logger: Logger = {
        info: () => undefined,
        warn: () => undefined,
        error: () => undefined,
        child: () => logger,
    };
    return logger;
}
