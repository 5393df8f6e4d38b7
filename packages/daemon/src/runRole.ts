import { validateRoleSettings } from "@auburnarch/config/validateRoleSettings";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createLogger } from "@auburnarch/log/createLogger";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import { readFile } from "node:fs/promises";
import { match } from "ts-pattern";
import type { ProcessContext } from "./ProcessContext.js";
import type { RoleContext } from "./RoleContext.js";
import type { RunningRole } from "./RunningRole.js";
import { waitForSignal } from "./waitForSignal.js";

const settingsExitCode = 2;

/** The code of the other role is not loaded: it costs a fifth of a second at the start. */
function start(context: RoleContext): Promise<RunningRole> {
    return match(context.settings.role)
        .with("gateway", async () => (await import("./startGateway.js")).startGateway(context))
        .with("runner", async () => (await import("./startRunner.js")).startRunner(context))
        .exhaustive();
}

/** Runs a gateway or a runner from its settings file until a signal; resolves with the exit code. */
export async function runRole(settingsPath: string, context: ProcessContext): Promise<number> {
    const startedAtMs = context.clock.monotonicMs();
    const checked = validateRoleSettings(JSON.parse(await readFile(settingsPath, "utf8")));
    if (checked.kind === "invalid") {
        checked.faults.forEach(fault =>
            context.writeLine(
                `level=error event=settingsInvalid path=${fault.path} message="${fault.message}"`,
            )
        );
        return settingsExitCode;
    }
    const { settings } = checked;
    const { clock, random } = context;
    const logger = createLogger(clock, context.writeLine, settings.logLevel).child({
        process: settings.name,
    });
    const metrics = createMetrics();
    const invariants = createInvariants(
        logger,
        code => metrics.count("promises_broken_total", { name: code.name }),
    );
    const running = await start({ settings, clock, random, logger, metrics, invariants });
    const tookMs = Math.round(clock.monotonicMs() - startedAtMs);
    logger.info("started", { role: settings.role, failureDomain: settings.failureDomain, tookMs });
    process.on("SIGHUP", () => {
        logger.info("settingsReloadAsked", { path: settingsPath });
    });
    await waitForSignal();
    logger.info("stopping", { gracePeriodMs: settings.gracePeriodMs });
    await running.shutdown();
    logger.info("stopped", {});
    return 0;
}
