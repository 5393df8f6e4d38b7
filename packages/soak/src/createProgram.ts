import type { Clock } from "@auburnarch/types/Clock";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdir, readdir, rm, stat, truncate } from "node:fs/promises";
import { createRequire } from "node:module";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { createProgramSettings } from "./createProgramSettings.js";
import { createSpanRecorder } from "./createSpanRecorder.js";
import type { Program } from "./Program.js";

interface ProgramOptions {
    name: string;
    role: "gateway" | "runner";
    folder: string;
    /** Ports of the links to the store; the settings name the first one until they are changed. */
    storePorts: number[];
    usagePort: number;
    clientPort: number;
    readyPort: number;
    internalPort: number;
    /** Further settings of its role. */
    extraSettings?: Record<string, unknown>;
}

/** Path of the built program. In tests run from the sources, packages resolve to their sources. */
const binary = createRequire(import.meta.url).resolve("@auburnarch/daemon/roleMain")
    .replace(/src([^/\\]*[/\\][^/\\]*)\.ts$/u, "dist$1.js");
const gracePeriodMs = 4_000;
const orderHandOverMs = 3_000;
const lotRetentionMs = 120_000;
/** A process that still runs after this time is killed, whatever happened to its run. */
const maxLifetimeMs = 180_000;
const maxLines = 40_000;
const truncatedBytes = 40;
const startedPattern = / event=started /u;

/** Writes the settings of a program and creates its handle, without starting it. */
export async function createProgram(clock: Clock, options: ProgramOptions): Promise<Program> {
    const { name, role, folder, clientPort, readyPort, internalPort } = options;
    const dataFolder = join(folder, `${name}-data`);
    const settingsPath = join(folder, `${name}.json`);
    const lines: string[] = [];
    const unexpectedExits: string[] = [];
    let incarnation = 0;
    const running = createSpanRecorder(clock);
    let child: ChildProcess | undefined;
    let hasStarted = false;
    let ended: Promise<void> = Promise.resolve();
    let isEndRequested = false;

    await mkdir(dataFolder, { recursive: true });
    const settingsFile = await createProgramSettings(clock, {
        path: settingsPath,
        storePorts: options.storePorts,
        settings: {
            name,
            role,
            failureDomain: "lugo",
            region: "norte",
            internalHost: "127.0.0.1",
            internalPorts: [internalPort, internalPort],
            clientAddress: `127.0.0.1:${clientPort}`,
            readyAddress: `127.0.0.1:${readyPort}`,
            ...(role === "runner" ? { dataFolder } : {}),
            usage: { address: `127.0.0.1:${options.usagePort}`, windowS: 1, dueS: 6 },
            orderHandOverMs,
            lotRetentionMs,
            gracePeriodMs,
            ...options.extraSettings,
        },
    });

    function recordLine(line: string): void {
        lines.push(line);
        if (lines.length > maxLines) {
            lines.shift();
        }
    }

    function start(): void {
        incarnation++;
        isEndRequested = false;
        hasStarted = false;
        const startedAtMs = clock.monotonicMs();
        const linesBefore = lines.length;
        const started = spawn(process.execPath, [binary, settingsPath], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        const cancelLifetime = clock.startTimer(maxLifetimeMs, () => started.kill("SIGKILL"));
        createInterface({ input: started.stdout! }).on("line", line => {
            recordLine(line);
            hasStarted ||= child === started && startedPattern.test(line);
        });
        createInterface({ input: started.stderr! }).on("line", line => recordLine(`stderr ${line}`));
        ended = new Promise(resolve => {
            started.once("exit", (code, signal) => {
                cancelLifetime();
                if (!isEndRequested) {
                    const uptimeMs = Math.round(clock.monotonicMs() - startedAtMs);
                    // A process that has logged nothing had not run any code of the program yet.
                    const loggedLines = lines.length - linesBefore;
                    unexpectedExits.push(
                        `${name}: ${
                            signal ?? code
                        } ${uptimeMs} ms after its start, ${loggedLines} lines logged`,
                    );
                }
                child = undefined;
                running.close();
                resolve();
            });
        });
        child = started;
        running.open();
    }

    function signalProcess(signal: NodeJS.Signals): void {
        child?.kill(signal);
        if (signal === "SIGSTOP") {
            running.close();
        }
        if (signal === "SIGCONT" && child !== undefined) {
            running.open();
        }
    }

    async function truncateFiles(): Promise<void> {
        const files = await readdir(dataFolder);
        for (const file of files) {
            const path = join(dataFolder, file);
            const { size } = await stat(path);
            await truncate(path, Math.max(0, size - truncatedBytes));
        }
    }

    return {
        name,
        role,
        clientPort,
        readyPort,
        incarnation: () => incarnation,
        isUp: () => child !== undefined,
        hasStarted: () => hasStarted,
        runningSpans: running.spans,
        settingsChanges: settingsFile.changes,
        changeSettings: settingsFile.change,
        lines: () => lines,
        unexpectedExits: () => unexpectedExits,
        start,
        signal: signalProcess,
        end: async signal => {
            isEndRequested = true;
            // A stopped process handles SIGTERM only once it is continued.
            signalProcess("SIGCONT");
            signalProcess(signal);
            await ended;
        },
        damageDisk: async damage => {
            if (damage === "torn") {
                await truncateFiles();
                return;
            }
            await rm(dataFolder, { recursive: true, force: true });
            await mkdir(dataFolder, { recursive: true });
        },
    };
}
