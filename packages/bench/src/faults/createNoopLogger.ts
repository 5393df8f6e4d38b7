import type { Logger } from "@auburnarch/types/Logger";

/** A logger that writes nothing. */
export function createNoopLogger(): Logger {
    const logger: Logger = {
        info: () => undefined,
        warn: () => undefined,
        error: () => undefined,
        child: () => logger,
    };
    return logger;
}
