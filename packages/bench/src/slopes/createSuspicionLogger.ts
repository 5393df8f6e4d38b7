import type { Logger } from "@auburnarch/types/Logger";

/** Creates a logger that only counts suspicions. */
export function createSuspicionLogger(): { logger: Logger; count(): number; } {
    let suspicions = 0;
    const logger: Logger = {
        info: event => {
            if (event.endsWith("Suspected")) {
                suspicions++;
            }
        },
        warn: () => undefined,
        error: () => undefined,
        child: () => logger,
    };
    return { logger, count: () => suspicions };
}
