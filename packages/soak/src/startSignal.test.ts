import { type ChildProcess, spawn } from "node:child_process";
import { readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

// Guards against a gateway that a SIGHUP ends and that stays down until the platform starts it again.
const program = fileURLToPath(new URL("../../daemon/dist/roleMain.js", import.meta.url));
/** Exit code of a program that finds no settings, which shows that the signal did not end it. */
const noSettingsExitCode = 2;
const sighupBit = 1n;

function start(): { child: ChildProcess; ended: Promise<number | string>; } {
    const child = spawn(process.execPath, [program], { stdio: "ignore", env: {} });
    const ended = new Promise<number | string>(resolve => {
        child.once("exit", (code, signal) => resolve(signal ?? code ?? ""));
    });
    return { child, ended };
}

/** Whether the process has a handler for SIGHUP, by the kernel's mask of caught signals. */
async function catchesSighup(pid: number): Promise<boolean> {
    const status = await readFile(`/proc/${pid}/status`, "utf8").catch(() => "");
    const mask = /^SigCgt:\s*([0-9a-f]+)/mu.exec(status)?.[1];
    return mask !== undefined && (BigInt(`0x${mask}`) & sighupBit) !== 0n;
}

test("the program installs its handler for SIGHUP before it loads any module", async () => {
    // Loading takes 0.3 s on the platform's machines, and a static import would run before the first statement.
    const code = await readFile(program, "utf8");
    const firstStatement = code.split("\n").find(line => /^[a-z]/u.test(line));
    expect(firstStatement).toMatch(/^process\.on\("SIGHUP"/u);
});

test("a change of the settings signalled while the program loads its code does not end the program", async () => {
    const { child, ended } = start();
    while (child.exitCode !== noSettingsExitCode && !await catchesSighup(child.pid!)) {
        // Polls without a pause, because the interval between the handler and the exit is short.
    }
    child.kill("SIGHUP");
    expect(await ended).toBe(noSettingsExitCode);
});

test("a change of the settings signalled before the runtime runs any code does not end the program", async () => {
    const { child, ended } = start();
    child.kill("SIGHUP");
    expect(await ended).toBe(noSettingsExitCode);
});
