import { createRandom } from "@auburnarch/clock/createRandom";
import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { validateManifest } from "@auburnarch/config/validateManifest";
import { execFileSync, spawn } from "node:child_process";
import { mkdtemp, open, readdir, readFile, readlink, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterEach, beforeEach, expect, test } from "vitest";
import { demoManifest } from "./demoManifest.js";
import { createProcessTestBed } from "./testing/createProcessTestBed.js";
import { spawnDaemon } from "./testing/spawnDaemon.js";

// Guards against a daemon that ends, with what it serves, once its settings change or its terminal closes.
const entryPoint = fileURLToPath(new URL("../dist/auburnarchd.js", import.meta.url));
const settingsExitCode = 2;
const within = { timeout: 20_000, interval: 10 };

let folder: string;
const daemons: ReturnType<typeof spawnDaemon>[] = [];

beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "auburnarch-hang-up-"));
});

afterEach(async () => {
    daemons.forEach(({ child }) => child.kill("SIGKILL"));
    await Promise.all(daemons.splice(0).map(each => each.ended));
    await rm(folder, { recursive: true, force: true });
});

function spawnTracked(args: string[]): ReturnType<typeof spawnDaemon> {
    const daemon = spawnDaemon(args);
    daemons.push(daemon);
    return daemon;
}

async function hasOpened(pid: number, path: string): Promise<boolean> {
    const descriptors = await readdir(`/proc/${pid}/fd`);
    const targets = await Promise.all(
        descriptors.map(each => readlink(`/proc/${pid}/fd/${each}`).catch(() => "")),
    );
    return targets.includes(path);
}

/** Starts a daemon whose settings come from a pipe, and resolves once it waits for them. */
async function spawnWaiting() {
    const path = join(folder, "settings.json");
    execFileSync("mkfifo", [path]);
    // Open for reading too, so that opening doesn't wait for the daemon.
    const pipe = await open(path, "r+");
    const daemon = spawnTracked(["run", "--settings", path]);
    await expect.poll(() => hasOpened(daemon.child.pid!, path), within).toBe(true);
    const writeSettings = (text: string) => pipe.writeFile(text).finally(() => pipe.close());
    return { ...daemon, writeSettings };
}

async function isServing(address: string): Promise<boolean> {
    return (await fetch(`${address}/healthz`)).ok;
}

test("the daemon installs its handler for SIGHUP before it loads any module", async () => {
    // A static import would run before the first statement.
    const code = await readFile(entryPoint, "utf8");
    const firstStatement = code.split("\n").find(line => /^[a-z]/u.test(line));
    expect(firstStatement).toMatch(/^process\.on\("SIGHUP"/u);
});

test("SIGHUP while the daemon starts does not end it", async () => {
    const { child, ended, writeSettings } = await spawnWaiting();
    child.kill("SIGHUP");
    await writeSettings("{}");
    expect(await ended).toBe(settingsExitCode);
});

test.each(["SIGTERM", "SIGINT"] as const)("%s while the daemon starts ends it at once", async signal => {
    const { child, ended, writeSettings } = await spawnWaiting();
    child.kill(signal);
    expect(await ended).toBe(signal);
    await writeSettings("");
});

async function countEvents(logPath: string, event: string): Promise<number> {
    return (await readFile(logPath, "utf8")).split(` event=${event} `).length - 1;
}

async function createBed() {
    const checked = validateManifest(demoManifest({ plume: "plume token", ridge: "ridge token" }));
    if (checked.kind === "invalid") {
        throw new Error(JSON.stringify(checked.faults));
    }
    const context = { clock: createSystemClock(), random: createRandom(12), writeLine: () => undefined };
    const bed = await createProcessTestBed(checked.manifest, context);
    return { ...bed, startSidecar: () => bed.startSidecar(checked.manifest.samplers[0]!) };
}

test("an entry and a sidecar serve on after SIGHUP and leave cleanly on SIGTERM", async () => {
    const bed = await createBed();
    try {
        const running = [await bed.startEntry("entry-1"), await bed.startSidecar()];
        running.forEach(({ child }) => child.kill("SIGHUP"));
        expect(await Promise.all(running.map(each => isServing(each.address)))).toEqual([true, true]);
        running.forEach(({ child }) => child.kill("SIGTERM"));
        expect(await Promise.all(running.map(each => each.ended))).toEqual([0, 0]);
    }
    finally {
        await bed.close();
    }
});

test("an entry and a sidecar read their settings again on SIGHUP", async () => {
    const bed = await createBed();
    try {
        const running = [await bed.startEntry("entry-1"), await bed.startSidecar()];
        for (const { settingsPath, logPath, child, address } of running) {
            const written = await readFile(settingsPath, "utf8");
            await writeFile(settingsPath, written.slice(0, 100));
            child.kill("SIGHUP");
            await expect.poll(() => countEvents(logPath, "settingsInvalid"), within).toBe(1);
            await writeFile(settingsPath, written.replace('"leaseTtlMs":2000', '"leaseTtlMs":3000'));
            child.kill("SIGHUP");
            await expect.poll(() => countEvents(logPath, "settingsReloaded"), within).toBe(1);
            expect(await readFile(logPath, "utf8")).toMatch(/ changed=leaseTtlMs atNextStart=leaseTtlMs$/mu);
            expect(await isServing(address)).toBe(true);
        }
    }
    finally {
        await bed.close();
    }
});

test("the system in one process serves on after SIGHUP and leaves cleanly on SIGTERM", async () => {
    const logPath = join(folder, "log");
    const { child, ended, waitForPrinted } = spawnTracked(["standalone", "--log", logPath]);
    const address = await waitForPrinted(/^entries: (\S+)/u);
    child.kill("SIGHUP");
    await expect.poll(() => countEvents(logPath, "nothingToReload"), within).toBe(1);
    expect(await isServing(address)).toBe(true);
    child.kill("SIGTERM");
    expect(await ended).toBe(0);
});

test("the system in one process shuts down fully on SIGTERM after its terminal has closed", async () => {
    // Guards against a daemon that its next line of output ends, since each write to a closed terminal fails.
    const logPath = join(folder, "log");
    const printedPath = join(folder, "printed");
    const command = `exec ${process.execPath} ${entryPoint} standalone --log ${logPath}`;
    const terminal = spawn("script", ["--quiet", "--flush", "--command", command, printedPath], {
        stdio: "ignore",
    });
    const readPrinted = () => readFile(printedPath, "utf8").catch(() => "");
    await expect.poll(readPrinted, within).toContain("team tokens:");
    const pid = Number(await readFile(`/proc/${terminal.pid}/task/${terminal.pid}/children`, "utf8"));
    const readCommand = () => readFile(`/proc/${pid}/cmdline`, "utf8").catch(() => "");
    try {
        terminal.kill("SIGKILL");
        await expect.poll(() => countEvents(logPath, "nothingToReload"), within).toBe(1);
        process.kill(pid, "SIGTERM");
        await expect.poll(readCommand, within).toBe("");
        expect(await countEvents(logPath, "shutdownEnded")).toBe(2);
    }
    finally {
        if (await readCommand() !== "") {
            process.kill(pid, "SIGKILL");
        }
    }
});
