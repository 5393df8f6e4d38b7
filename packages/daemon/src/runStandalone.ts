import type { ManifestResult } from "@auburnarch/config/ManifestResult";
import { parseManifest } from "@auburnarch/config/parseManifest";
import { validateManifest } from "@auburnarch/config/validateManifest";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createLogger } from "@auburnarch/log/createLogger";
import type { Manifest } from "@auburnarch/types/Manifest";
import { createWriteStream } from "node:fs";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { demoManifest } from "./demoManifest.js";
import type { ProcessContext } from "./ProcessContext.js";
import { runDemo } from "./runDemo.js";
import { startStandalone } from "./startStandalone.js";
import { waitForSignal } from "./waitForSignal.js";

const entryCount = 2;
const tokensPerSecond = 120;
const swapMs = 300;
const plainLatencyMs = 5;

interface StandaloneFlags {
    manifestPath: string | undefined;
    port: number;
    /** Runs the demo and then exits. */
    demo: boolean;
    logPath: string | undefined;
    context: ProcessContext;
    printLine: (line: string) => void;
}

function requireValid(checked: ManifestResult): Manifest {
    if (checked.kind === "invalid") {
        const faults = checked.faults.map(fault => `${fault.path}: ${fault.message}`);
        throw new ResultError(resultCodes.manifestInvalid, faults.join("; "));
    }
    return checked.manifest;
}

/** Runs the whole system on loopback; resolves with the exit code. */
export async function runStandalone(flags: StandaloneFlags): Promise<number> {
    const { context, printLine } = flags;
    const { random } = context;
    const folder = await mkdtemp(join(tmpdir(), "auburnarch-"));
    const tokens = { plume: random.nextId(), ridge: random.nextId() };
    const manifestPath = flags.manifestPath ?? join(folder, "manifest.json");
    if (flags.manifestPath === undefined) {
        await writeFile(
            manifestPath,
            JSON.stringify(requireValid(validateManifest(demoManifest(tokens))), undefined, 4),
        );
    }
    const manifest = requireValid(parseManifest(await readFile(manifestPath, "utf8")));
    const logPath = flags.logPath ?? (flags.demo ? join(folder, "demo.log") : undefined);
    const log = logPath === undefined ? undefined : createWriteStream(logPath);
    const writeLine = log === undefined
        ? context.writeLine
        // Timers may still write a line after the log file has been closed.
        : (line: string) => void (log.writableEnded || log.write(`${line}\n`));
    const logger = createLogger(context.clock, writeLine);
    // The first entry reads the manifest file itself and publishes each change.
    process.on("SIGHUP", () => logger.info("nothingToReload", { manifestPath }));

    const system = await startStandalone({
        plan: { manifest, region: "norte", entries: entryCount, tokensPerSecond, swapMs, plainLatencyMs },
        context: { ...context, writeLine },
        manifestPath,
        dataFolder: join(folder, "data"),
        port: flags.port,
    });
    printLine(`entries: ${system.entries.map(entry => entry.address).join(" ")}`);
    printLine(`manifest: ${manifestPath}`);
    let exitCode = 0;
    if (flags.demo) {
        const tokensByTeam = new Map([["plume", tokens.plume], ["ridge", tokens.ridge]]);
        const summary = await runDemo({
            system,
            context,
            jobs: manifest.jobs,
            tokens: tokensByTeam,
            manifestPath,
            printLine,
        });
        await system.shutdown();
        const failures = summary.missing + summary.duplicates + summary.staleViolations
            + summary.alertsRunTwice;
        exitCode = failures === 0 ? 0 : 1;
        printLine(
            `event=summary ${Object.entries(summary).map(([key, value]) => `${key}=${value}`).join(" ")}`,
        );
    }
    else {
        printLine(`operator token: ${system.operatorToken}`);
        printLine(`team tokens: plume ${tokens.plume}, ridge ${tokens.ridge}`);
        await waitForSignal();
        printLine("shutting down; a second signal ends at once");
        await system.shutdown();
    }
    await new Promise<void>(resolve => log === undefined ? resolve() : log.end(resolve));
    await rm(folder, { recursive: true, force: true });
    return exitCode;
}
