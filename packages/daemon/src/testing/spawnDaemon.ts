import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

interface SpawnedDaemon {
    child: ChildProcess;
    /** Resolves with the exit code or the name of the signal. */
    ended: Promise<number | string>;
    /** Resolves with the first group of the first printed line that matches; rejects if the process ends before. */
    waitForPrinted(pattern: RegExp): Promise<string>;
}

const binary = fileURLToPath(new URL("../../dist/auburnarchd.js", import.meta.url));
/** A process that still runs after this time is killed, even if its test did not clean up. */
const maxLifetimeMs = 240_000;

/** Starts `auburnarchd` with these arguments as a separate process; `log` receives its standard output. */
export function spawnDaemon(args: string[], log: "ignore" | number = "ignore"): SpawnedDaemon {
    const child = spawn(process.execPath, [binary, ...args], { stdio: ["ignore", log, "pipe"] });
    const kill = setTimeout(() => child.kill("SIGKILL"), maxLifetimeMs);
    const ended = new Promise<number | string>(resolve =>
        child.once("exit", (code, signal) => {
            clearTimeout(kill);
            resolve(code ?? signal ?? "");
        })
    );
    return {
        child,
        ended,
        waitForPrinted: pattern => {
            const printed: string[] = [];
            return new Promise((resolve, reject) => {
                createInterface({ input: child.stderr! }).on("line", line => {
                    printed.push(line);
                    const found = pattern.exec(line)?.[1];
                    if (found !== undefined) {
                        resolve(found);
                    }
                });
                void ended.then(end =>
                    reject(
                        new Error(
                            `process exited with ${String(end)} before it printed it: ${printed.join(" | ")}`,
                        ),
                    )
                );
            });
        },
    };
}
