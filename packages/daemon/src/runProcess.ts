import type { Settings } from "@auburnarch/config/Settings";
import { createLogger } from "@auburnarch/log/createLogger";
import { readFile } from "node:fs/promises";
import { match } from "ts-pattern";
import { createProcessSettings } from "./createProcessSettings.js";
import type { ProcessContext } from "./ProcessContext.js";
import type { RunningProcess } from "./RunningProcess.js";
import { startEntry } from "./startEntry.js";
import { startSidecar } from "./startSidecar.js";
import { waitForSignal } from "./waitForSignal.js";

const settingsExitCode = 2;

function start(settings: Settings, context: ProcessContext): Promise<RunningProcess> {
    return match(settings.role)
        .with("entry", () => startEntry(settings, context))
        .with("sidecar", () => startSidecar(settings, context))
        .exhaustive();
}

/** Runs an entry or a sidecar until a signal, then shuts it down gracefully; resolves with the exit code. */
export async function runProcess(
    settingsPath: string,
    flags: Record<string, string>,
    context: ProcessContext,
    printLine: (line: string) => void,
): Promise<number> {
    const file = createProcessSettings({
        readText: () => readFile(settingsPath, "utf8"),
        flags,
        createLogger: ({ logLevel, name }) =>
            createLogger(context.clock, context.writeLine, logLevel).child({ process: name }),
    });
    // Before the first read, so that a change that is signalled meanwhile is read too.
    process.on("SIGHUP", () => void file.reload());
    const checked = await file.open();
    if (checked.kind === "invalid") {
        checked.faults.forEach(fault => printLine(`${settingsPath}: ${fault.path}: ${fault.message}`));
        printLine("Correct the settings and start again; docs/settings.md lists each.");
        return settingsExitCode;
    }
    const running = await start(checked.settings, context);
    printLine(`${running.name} listens at ${running.address}`);
    await waitForSignal();
    await running.shutdown();
    return 0;
}
