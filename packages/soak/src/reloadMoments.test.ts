import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import { clientCalls } from "@auburnarch/platform/testing/clientCalls";
import { createFakeClient } from "@auburnarch/platform/testing/createFakeClient";
import { afterAll, beforeAll, expect, test, vi } from "vitest";
import { createSoakTestBed } from "./createSoakTestBed.js";
import type { Program } from "./Program.js";
import { soakTeam } from "./soakTeam.js";
import type { SoakTestBed } from "./SoakTestBed.js";

const clock = createSystemClock();
const client = createFakeClient(soakTeam.key);
const startLimitMs = 30_000;
const reloadLimitMs = 5_000;
const signalIntervalMs = 20;
const ok = 200;
let bed: SoakTestBed;
let gateway: Program;

let sent = 0;

async function call(): Promise<string> {
    const request = { method: "POST", path: "/alerts/x", requestId: `request-${sent++}`, body: "x" };
    const reply = await client.call(gateway.clientPort, request);
    return reply.kind === "answered" ? `${reply.status}` : reply.detail;
}

const countReloads = (): number =>
    gateway.lines().filter(line => line.includes("event=settingsReloaded")).length;

async function becomesReady(): Promise<void> {
    await vi.waitUntil(async () => {
        const reply = await client.call(gateway.readyPort, { ...clientCalls.isReady(), limitMs: 1_000 });
        return reply.kind === "answered" && reply.status === ok;
    }, { timeout: startLimitMs, interval: 100 });
}

beforeAll(async () => {
    bed = await createSoakTestBed(clock, {
        gateways: 1,
        runners: 1,
        modelSamplers: 1,
        plainSamplers: 2,
        models: ["plume"],
    });
    gateway = bed.gateways[0]!;
    await becomesReady();
}, startLimitMs);

afterAll(async () => {
    client.close();
    await bed.close();
});

test("a gateway that cannot reach the store reloads its settings and serves on", async () => {
    // Guards against a reload that waits for a store that does not answer.
    const links = bed.storeLinks.get(gateway.name)!;
    const before = countReloads();
    links.forEach(link => link.setMode("silent"));
    gateway.signal("SIGHUP");
    await vi.waitUntil(() => countReloads() > before, { timeout: reloadLimitMs });
    expect(await call()).toBe("200");
    links.forEach(link => link.setMode("well"));
});

test("signals that come while a gateway is paused are answered by a reload after it", async () => {
    // Guards against a change that is lost because its signal came while the process did not run.
    const before = countReloads();
    gateway.signal("SIGSTOP");
    gateway.signal("SIGHUP");
    gateway.signal("SIGHUP");
    gateway.signal("SIGCONT");
    await vi.waitUntil(() => countReloads() > before, { timeout: reloadLimitMs });
    expect(await call()).toBe("200");
});

test("signals in series while a gateway shuts down cut off no request and leave a clean exit", async () => {
    // Guards against a reload that ends a process in its grace period.
    bed.slots.forEach(slot => slot.link.setMode("slow"));
    const replies = [call(), call()];
    await clock.sleep(signalIntervalMs);
    const ended = gateway.end("SIGTERM");
    while (gateway.isUp()) {
        gateway.signal("SIGHUP");
        await clock.sleep(signalIntervalMs);
    }
    await ended;
    expect(await Promise.all(replies)).toEqual(["200", "200"]);
    expect(gateway.lines().filter(line => line.includes("event=stopped")).length).toBe(1);
    expect(gateway.unexpectedExits()).toEqual([]);
});
