import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { findFreePort } from "@auburnarch/platform/testing/findFreePort";
import { mkdtemp, readFile, rename, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test, vi } from "vitest";
import { createProgram } from "./createProgram.js";

const clock = createSystemClock();
const limitMs = 5_000;
const startLimitMs = 60_000;

test.each(["gateway", "runner"] as const)(
    "a running %s takes a change of its settings file with and without a signal, and shows it",
    async role => {
        // Guards against a program that reads its settings at the start only, though the reader of changes works.
        const folder = await mkdtemp(join(tmpdir(), "auburnarch-settings-"));
        const internalPort = await findFreePort();
        const program = await createProgram(clock, {
            name: "one",
            role,
            folder,
            storePorts: [await findFreePort()],
            usagePort: await findFreePort(),
            clientPort: await findFreePort(),
            readyPort: await findFreePort(),
            internalPort,
        });
        const path = join(folder, "one.json");
        const text = await readFile(path, "utf8");
        const replaceFile = async (content: string): Promise<void> => {
            await writeFile(`${path}.next`, content);
            await rename(`${path}.next`, path);
        };
        const count = (event: string): number =>
            program.lines().filter(line => line.includes(`event=${event} `)).length;
        const logs = (event: string, times: number): Promise<unknown> =>
            vi.waitUntil(() => count(event) === times, { timeout: limitMs, interval: 20 });
        const gauge = async (name: string): Promise<number> => {
            const metrics = await (await fetch(`http://127.0.0.1:${internalPort}/metrics`)).text();
            return Number(new RegExp(`^auburnarch_${name} (.*)$`, "mu").exec(metrics)?.[1]);
        };
        try {
            program.start();
            await vi.waitUntil(() => count("started") === 1, { timeout: startLimitMs });
            expect(await gauge("settings_valid")).toBe(1);
            const changedAtMs = Date.now();
            await replaceFile(JSON.stringify({ ...JSON.parse(text), storeAddress: "127.0.0.1:9" }));
            await logs("settingsReloaded", 1);
            expect(await gauge("settings_applied_at_ms")).toBeGreaterThanOrEqual(changedAtMs);
            program.signal("SIGHUP");
            await logs("settingsReloaded", 2);
            await replaceFile("{");
            await logs("settingsInvalid", 1);
            expect(await gauge("settings_valid")).toBe(0);
            await replaceFile(text);
            await logs("settingsReloaded", 3);
            expect(await gauge("settings_valid")).toBe(1);
            expect(program.unexpectedExits()).toEqual([]);
        }
        finally {
            await program.end("SIGKILL");
            await rm(folder, { recursive: true, force: true });
        }
    },
);
