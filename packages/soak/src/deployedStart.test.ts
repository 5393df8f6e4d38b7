import { execFileSync, spawn } from "node:child_process";
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterAll, beforeAll, expect, test, vi } from "vitest";

const repository = fileURLToPath(new URL("../../../", import.meta.url));
const deployFile = join(repository, "deploy/system.toml");
const sighupBit = 1n;
const handlerLimitMs = 20_000;
let folder: string;

beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "auburnarch-deployed-"));
    execFileSync(process.execPath, [join(repository, "scripts/bundle.mjs"), join(folder, "target")]);
    // A program that looks up the format of a file waits here, since nobody writes to the pipe.
    execFileSync("mkfifo", [join(folder, "target/package.json")]);
});

afterAll(() => rm(folder, { recursive: true, force: true }));

/** Command line of each role in the deploy file. */
async function readCommands(): Promise<string[][]> {
    const text = await readFile(deployFile, "utf8");
    return [...text.matchAll(/^run = "node (.*)"$/gmu)].map(([, words]) => words!.split(" "));
}

/** Whether the process has a handler for SIGHUP, by the kernel's mask of caught signals. */
async function catchesSighup(pid: number): Promise<boolean> {
    const status = await readFile(`/proc/${pid}/status`, "utf8");
    const mask = /^SigCgt:\s*([0-9a-f]+)/mu.exec(status)?.[1];
    return mask !== undefined && (BigInt(`0x${mask}`) & sighupBit) !== 0n;
}

// Guards against a longer stretch in which a SIGHUP ends a starting process: the module loader runs before the handler.
test("the deployed programs handle SIGHUP before they look up the format of any file", async () => {
    const commands = await readCommands();
    expect(commands).toMatchInlineSnapshot(`
      [
        [
          "--max-old-space-size=120",
          "target/roleMain.cjs",
        ],
        [
          "--max-old-space-size=140",
          "target/roleMain.cjs",
        ],
      ]
    `);
    for (const words of commands) {
        const child = spawn(process.execPath, words, { cwd: folder, stdio: "ignore", env: {} });
        const ended = new Promise(resolve => {
            child.once("exit", (code, signal) => resolve(signal ?? code));
        });
        try {
            await vi.waitUntil(() => catchesSighup(child.pid!), { timeout: handlerLimitMs });
            child.kill("SIGHUP");
            child.kill("SIGTERM");
            // The kernel delivers the signal of the lower number first.
            expect(await ended).toBe("SIGTERM");
        }
        finally {
            child.kill("SIGKILL");
            await ended;
        }
    }
});
