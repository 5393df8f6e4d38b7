import { type ChildProcess, spawn } from "node:child_process";
import { readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

// Guards against: a gateway was gone until the platform started it again.
const program = fileURLToPath(new URL("../../daemon/dist/roleMain.js", import.meta.url));
/** It ends with this code once it has found no settings: it was not ended by the signal. */
const noSettingsExitCode = 2;
const sighupBit = 1n;

function start(): { child: ChildProcess; ended: Promise<number | string>; } {
    const child = spawn(process.execPath, [program], { stdio: "ignore", env: {} });
    const ended = new Promise<number | string>(resolve => {
        child.once("exit", (code, signal) => resolve(signal ?? code ?? ""));
    });
    return { child, ended };
}

/** Whether the kernel would hand the process the signal. */
async function catchesSighup(pid: number): Promise<boolean> {
    const status = await readFile(`/proc/${pid}/status`, "utf8").catch(() => "");
    const mask = /^SigCgt:\s*([0-9a-f]+)/mu.exec(status)?.[1];
    return mask !== undefined && (BigInt(`0x${mask}`) & sighupBit) !== 0n;
}

test("the program takes the signal before it loads anything", async () => {
    // Loading took 0.3 s on the machines of the platform; a static import comes before the first statement.
    const code = await readFile(program, "utf8");
    const firstStatement = code.split("\n").find(line => /^[a-z]/u.test(line));
    expect(firstStatement).toMatch(/^process\.on\("SIGHUP"/u);
});

test("a change of the settings signalled while the program loads its code does not end it", async () => {
    const { child, ended } = start();
    while (child.exitCode !== noSettingsExitCode && !await catchesSighup(child.pid!)) {
        // Looks again at once: the moment of interest is short.
    }
    child.kill("SIGHUP");
    expect(await ended).toBe(noSettingsExitCode);
});

test("a change of the settings signalled before the runtime runs any code does not end the program", async () => {
    const { child, ended } = start();
    child.kill("SIGHUP");
    expect(await ended).toBe(noSettingsExitCode);
});
