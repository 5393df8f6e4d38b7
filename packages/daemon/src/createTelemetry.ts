import type { Settings } from "@auburnarch/config/Settings";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import type { Invariants } from "@auburnarch/invariants/Invariants";
import { createLogger } from "@auburnarch/log/createLogger";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Logger } from "@auburnarch/types/Logger";
import type { ProcessContext } from "./ProcessContext.js";

interface Telemetry {
    logger: Logger;
    metrics: Metrics;
    invariants: Invariants;
}

/** Creates the logger, the metrics and the invariant checks of a process; violations are logged and counted. */
export function createTelemetry(settings: Settings, context: ProcessContext): Telemetry {
    const root = createLogger(context.clock, context.writeLine, settings.logLevel);
    const logger = root.child({ process: settings.name });
    const metrics = createMetrics();
    const invariants = createInvariants(
        logger,
        code => metrics.count("promises_broken_total", { name: code.name }),
    );
    return { logger, metrics, invariants };
}
