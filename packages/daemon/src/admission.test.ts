import { delayedAnswerMs } from "@auburnarch/platform/testing/delayedAnswerMs";
import { testClientLimits } from "@auburnarch/platform/testing/testClientLimits";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { createPlatformTestBed } from "./testing/createPlatformTestBed.js";

const config = {
    version: 3,
    routes: [{
        "name": "tiles",
        "host": "a.example",
        "path-prefix": "/tiles/",
        "kind": "idempotent",
        "service": "tiles",
        "timeout-ms": 2_000,
    }],
    services: [{ name: "tiles" }],
    limits: testClientLimits,
};

let testBed: Awaited<ReturnType<typeof createPlatformTestBed>>;
let gateway: Awaited<ReturnType<typeof testBed.startGatewayAt>>;
const sockets: Socket[] = [];

beforeEach(async () => {
    testBed = await createPlatformTestBed();
    testBed.store.put("config", "main", config);
    gateway = await testBed.startGatewayAt("front-1", { admission: {}, maxHeldBodyBytes: 1_000 });
    await testBed.waitFor(async () =>
        (await testBed.call(gateway.readyPort, "GET", "/v1/ready")).status === 200 ? true : undefined
    );
});

afterEach(() => {
    sockets.splice(0).forEach(socket => socket.destroy());
    testBed.close();
    expect(testBed.violations).toEqual([]);
});

const send = (id: string, bytes: number) =>
    testBed.call(gateway.port, "POST", "/tiles/7", { "auburnarch-request-id": id }, "x".repeat(bytes));

/** Announces a body, or none if `announced` is undefined, and sends the first bytes of it. */
function sendSlowly(id: string, announced: number | undefined, bytes: number, deadlineMs: number) {
    const socket = connect(gateway.port, "127.0.0.1");
    sockets.push(socket);
    let received = "";
    socket.on("data", (data: Buffer) => (received += data.toString("latin1")));
    socket.on("error", () => undefined);
    const length = announced === undefined ? "transfer-encoding: chunked" : `content-length: ${announced}`;
    const part = "x".repeat(bytes);
    const sent = announced === undefined ? `${bytes.toString(16)}\r\n${part}\r\n` : part;
    socket.write(
        "POST /tiles/7 HTTP/1.1\r\nhost: a.example\r\n"
            + `auburnarch-request-id: ${id}\r\nauburnarch-deadline-ms: ${deadlineMs}\r\n${length}\r\n\r\n${sent}`,
    );
    return { socket, received: () => received };
}

const heldBytes = async (): Promise<number> =>
    Number(/held_body_bytes (\d+)/u.exec(await testBed.metricsOf("front-1"))?.[1] ?? 0);
const waitForHeld = (bytes: number) =>
    testBed.waitFor(async () => await heldBytes() === bytes ? true : undefined);

test("bodies of slow clients are bounded, and give way to smaller ones", async () => {
    // Guards against clients that announce bodies and send them slowly, and exhaust the memory or keep others out.
    await testBed.addSampler({ id: "t-1", service: "tiles" });
    await testBed.waitFor(async () => (await send("q0", 5)).status === 200 ? true : undefined);
    const leaving = sendSlowly("slow-1", 900, 10, 1_900);
    await waitForHeld(900);
    expect((await send("q1", 100)).status).toBe(200);
    expect(leaving.received()).toBe("");
    expect((await send("q2", 200)).status).toBe(200);
    const givenUp = await testBed.waitFor(() => leaving.received() === "" ? undefined : leaving.received());
    expect(givenUp).toMatch(/^HTTP\/1.1 503 .*bodiesFull/su);
    const retryAfterS = Number(/retry-after: ([\d.]+)/iu.exec(givenUp)?.[1]);
    expect(retryAfterS).toBeGreaterThan(0);
    expect(retryAfterS).toBeLessThan(1);
    await waitForHeld(0);
    const refused = await send("q4", 1_001);
    expect([refused.status, JSON.parse(refused.body)]).toMatchObject([503, { name: "bodiesFull" }]);
    const left = sendSlowly("slow-4", 900, 10, 1_900);
    await waitForHeld(900);
    left.socket.destroy();
    await waitForHeld(0);
    expect((await send("q3", 900)).status).toBe(200);
    const staying = sendSlowly("slow-2", 900, 10, 300);
    const answer = await testBed.waitFor(() => staying.received() === "" ? undefined : staying.received());
    expect(answer).toMatch(/^HTTP\/1.1 504 .*deadlinePassed/su);
    await waitForHeld(0);
    const chunked = sendSlowly("slow-3", undefined, 1_001, 1_900);
    const refusal = await testBed.waitFor(() => chunked.received() === "" ? undefined : chunked.received());
    expect(refusal).toMatch(/^HTTP\/1.1 503 .*bodiesFull/su);
    await waitForHeld(0);
});

test("with admission, requests are served, and refused at once with Retry-After while there is no sampler", async () => {
    const refused = await testBed.waitFor(async () => {
        const answer = await send("q1", 5);
        return answer.status === 503 ? answer : undefined;
    });
    expect(JSON.parse(refused.body)).toMatchObject({ name: "noSampler" });
    expect(Number(refused.headers["retry-after"])).toBeGreaterThan(0);
    expect(testBed.lines.some(line => line.includes("event=requestRefusedForLoad"))).toBe(true);
    await testBed.addSampler({ id: "t-1", service: "tiles" });
    await testBed.waitFor(async () => (await send("q2", 5)).status === 200 ? true : undefined);
    const metrics = await testBed.metricsOf("front-1");
    expect(metrics).toMatch(/auburnarch_admission_refused_total\{service="tiles",reason="noSampler"\} \d/u);
    expect(metrics).toMatch(/auburnarch_admission_limit\{service="tiles"\} \+Inf/u);
});

test(
    "a small team is served beside one that presses on full samplers, and what is refused has not run",
    async () => {
        // Guards against an admission that works under a fake clock only, and against a 429 for a request that ran.
        const maxRunning = 2;
        const ends: number[] = [];
        const fateOf = () => {
            const nowMs = performance.now();
            if (ends.filter(endMs => endMs > nowMs).length >= maxRunning) {
                return "rejected" as const;
            }
            ends.push(nowMs + delayedAnswerMs);
            return "delayed" as const;
        };
        testBed.store.put("config", "main", {
            ...config,
            version: 4,
            tenants: [
                { "name": "large", "api-keys": ["key-large"], "priority": 1 },
                { "name": "small", "api-keys": ["key-small"], "priority": 1 },
            ],
        });
        const sampler = await testBed.addSampler({ id: "t-1", service: "tiles", fateOf });
        const refusedIds: string[] = [];
        const refusals: { status: number; name: string; retryAfterS: number; }[] = [];
        let sent = 0;

        async function ask(team: string, body: string): Promise<boolean> {
            for (let attempt = 0; attempt < 12; attempt++) {
                const id = `${team}-${sent++}`;
                const answer = await testBed.call(gateway.port, "POST", "/tiles/7", {
                    "auburnarch-request-id": id,
                    "auburnarch-deadline-ms": "1800",
                    "authorization": `Bearer key-${team}`,
                }, body);
                if (answer.status === 200) {
                    return true;
                }
                const retryAfterS = Number(answer.headers["retry-after"] ?? Number.NaN);
                const { name } = JSON.parse(answer.body) as { name: string; };
                refusals.push({ status: answer.status, name, retryAfterS });
                refusedIds.push(id);
                await new Promise(resolve => setTimeout(resolve, retryAfterS * 1_000));
            }
            return false;
        }

        await testBed.waitFor(async () => await ask("small", "first") ? true : undefined);
        refusals.length = 0;
        const stop = { isStopped: false };
        const press = Array.from({ length: 16 }, async (_, worker) => {
            for (let at = 0; !stop.isStopped; at++) {
                await ask("large", `${worker}-${at}`);
            }
        });
        // Until the gateway has seen rejections, it has no limit and nothing to divide.
        await testBed.waitFor(() => refusals.some(({ name }) => name === "waitTooLong") ? true : undefined);
        const served: boolean[] = [];
        for (let at = 0; at < 15; at++) {
            served.push(await ask("small", `s-${at}`));
        }
        stop.isStopped = true;
        await Promise.all(press);
        expect(served).toEqual(Array(15).fill(true));
        expect(refusals.filter(({ name, status }) => name === "waitTooLong" && status === 429).length)
            .toBeGreaterThan(0);
        expect(refusals.filter(({ retryAfterS }) => !(retryAfterS >= 0 && retryAfterS <= 0.6))).toEqual([]);
        const ran = new Set(sampler.runs().map(({ id }) => id));
        expect(refusedIds.filter(id => ran.has(id))).toEqual([]);
    },
    30_000,
);

test("a gateway that leaves while a body arrives slowly answers its client and ends", async () => {
    const slow = sendSlowly("slow-1", 900, 10, 60_000);
    await waitForHeld(900);
    await gateway.role.shutdown();
    expect(slow.received()).toMatch(/^HTTP\/1.1 504 .*deadlinePassed/su);
    expect(testBed.lines.some(line => /event=gatewayLeft .*active=0/u.test(line))).toBe(true);
});
