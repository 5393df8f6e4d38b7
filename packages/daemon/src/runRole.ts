import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createLogger } from "@auburnarch/log/createLogger";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import { readFile } from "node:fs/promises";
import { match } from "ts-pattern";
import { createLimitedRead } from "./createLimitedRead.js";
import { createSettingsFile } from "./createSettingsFile.js";
import { followSettingsFile } from "./followSettingsFile.js";
import { onHangUp } from "./onHangUp.js";
import { openWrittenSettings } from "./openWrittenSettings.js";
import type { ProcessContext } from "./ProcessContext.js";
import type { RoleContext } from "./RoleContext.js";
import type { RunningRole } from "./RunningRole.js";
import { waitForSignal } from "./waitForSignal.js";

const settingsExitCode = 2;
const settingsReadLimitMs = 2_000;

/** Loads only the code of the configured role; loading the other one would delay the start by 200 ms. */
function start(context: RoleContext): Promise<RunningRole> {
    return match(context.settings.role)
        .with("gateway", async () => (await import("./startGateway.js")).startGateway(context))
        .with("runner", async () => (await import("./startRunner.js")).startRunner(context))
        .exhaustive();
}

/** Runs a gateway or a runner until a signal, then shuts it down; resolves with the exit code. */
export async function runRole(settingsPath: string, context: ProcessContext): Promise<number> {
    const { clock, random } = context;
    const startedAtMs = clock.monotonicMs();
    const metrics = createMetrics();
    const recordSettings = (outcome: "applied" | "invalid"): void => {
        metrics.set("settings_valid", {}, outcome === "applied" ? 1 : 0);
        if (outcome === "applied") {
            metrics.set("settings_applied_at_ms", {}, clock.wallMs());
        }
    };
    const openFile = () =>
        createSettingsFile(() => readFile(settingsPath, "utf8"), {
            onNewContent: outcome => {
                metrics.count("settings_changes_total", { result: outcome });
                recordSettings(outcome);
            },
            limitRead: readText => createLimitedRead({ readText, clock, limitMs: settingsReadLimitMs }),
        });
    const opened = await openWrittenSettings(openFile, clock);
    if (opened.kind === "invalid") {
        for (const { path, message } of opened.faults) {
            context.writeLine(`level=error event=settingsInvalid path=${path} message="${message}"`);
        }
        return settingsExitCode;
    }
    const { file } = opened;
    const settings = file.current();
    recordSettings("applied");
    const logger = createLogger(clock, context.writeLine, settings.logLevel).child({
        process: settings.name,
    });
    const stopFollowing = followSettingsFile({ file, clock, logger, onSignal: onHangUp });
    const invariants = createInvariants(
        logger,
        code => metrics.count("promises_broken_total", { name: code.name }),
    );
    // Clients connect as soon as a port is open, which is before the start is complete.
    const stopRequested = waitForSignal();
    const running = await start({
        settings,
        currentSettings: file.current,
        clock,
        random,
        logger,
        metrics,
        invariants,
    });
    const tookMs = Math.round(clock.monotonicMs() - startedAtMs);
    logger.info("started", { role: settings.role, failureDomain: settings.failureDomain, tookMs });
    await stopRequested;
    logger.info("stopping", { gracePeriodMs: settings.gracePeriodMs });
    await running.shutdown();
    stopFollowing();
    logger.info("stopped", {});
    return 0;
}
