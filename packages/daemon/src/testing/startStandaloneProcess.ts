import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { readProcessState } from "./readProcessState.js";

const binary = fileURLToPath(new URL("../../dist/auburnarchd.js", import.meta.url));
const maxLifetimeMs = 170_000;

/** Starts the `standalone` program with a heap limit, and resolves when it has printed its addresses and tokens. */
export async function startStandaloneProcess(heapLimitMb: number) {
    const command = [`--max-old-space-size=${heapLimitMb}`, binary, "standalone", "--log", "/dev/null"];
    const child = spawn(process.execPath, command, { stdio: ["ignore", "ignore", "pipe"] });
    const kill = setTimeout(() => child.kill("SIGKILL"), maxLifetimeMs);
    let ended: number | string | undefined;
    child.once("exit", (code, signal) => {
        clearTimeout(kill);
        ended = code ?? signal ?? "";
    });
    const lines = createInterface({ input: child.stderr });
    let printed = "";
    for await (const line of lines) {
        printed += `${line}\n`;
        if (line.startsWith("team tokens")) {
            break;
        }
    }
    child.stderr.resume();
    return {
        port: Number(/entries: http:\/\/127\.0\.0\.1:(\d+)/u.exec(printed)?.[1]),
        token: /team tokens: plume ([^,]+),/u.exec(printed)?.[1] ?? "",
        state: async () => ({ ended, ...await readProcessState(child.pid!) }),
        close: () => child.kill("SIGKILL"),
    };
}
