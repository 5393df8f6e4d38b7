import { createRandom } from "@auburnarch/clock/createRandom";
import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import type { Settings } from "@auburnarch/config/Settings";
import { validateManifest } from "@auburnarch/config/validateManifest";
import { validateSettings } from "@auburnarch/config/validateSettings";
import { createPeerCall } from "@auburnarch/entry/createPeerCall";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { createLogger } from "@auburnarch/log/createLogger";
import { createTrust } from "@auburnarch/tls/createTrust";
import { createHttpSidecar } from "@auburnarch/transport/createHttpSidecar";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { SamplerOrder } from "@auburnarch/types/SamplerOrder";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { readFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { Agent, type ServerResponse } from "node:http";
import { Agent as HttpsAgent } from "node:https";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterEach, beforeEach, expect, test } from "vitest";
import { callEntry } from "./callEntry.js";
import { digestToken } from "./digestToken.js";
import type { RunningProcess } from "./RunningProcess.js";
import { startEntry } from "./startEntry.js";
import { startExternalFakes } from "./startExternalFakes.js";
import { startSidecar } from "./startSidecar.js";

const keys = {
    team: "token of team plume, for callers only",
    operator: "token of the operators, for the desk only",
    cursor: "key that signs cursors of all the trainers",
    first: "first token of the cluster, for its processes",
    second: "second token of the cluster, for its processes",
};
const lines: string[] = [];
const context = {
    clock: createSystemClock(),
    random: createRandom(21),
    writeLine: (line: string) => void lines.push(line),
};
const sampler = { sampler: "tile-1", service: "tiles", failureDomain: "Lugo" };

type ClusterTokens = Pick<Settings, "clusterToken" | "previousClusterToken">;

const pem = (name: string): string =>
    fileURLToPath(new URL(`../../tls/src/testing/${name}.pem`, import.meta.url));
const tlsOf = (name: string) => ({
    certPath: pem(`${name}.cert`),
    keyPath: pem(`${name}.key`),
    caPath: pem("authority.cert"),
});

const plainRequest = {
    attempt: "a",
    service: "tiles",
    team: "plume",
    method: "POST",
    path: "/alerts",
    headers: {},
    body: new Uint8Array(),
    idempotent: false,
    digest: "d",
    budgetMs: 1_000,
} as never;

async function createTestBed() {
    const checked = validateManifest({
        name: "keys",
        teams: [{ team: "plume", share: 1, tokenDigests: [digestToken(keys.team)] }],
        services: [{ service: "tiles", kind: "plain", repeatable: ["GET /tiles"] }],
        samplers: [sampler],
        jobs: [],
    }) as { manifest: Manifest; };
    const { manifest } = checked;
    const folder = await mkdtemp(join(tmpdir(), "auburnarch-keys-"));
    const manifestPath = join(folder, "manifest.json");
    await writeFile(manifestPath, JSON.stringify(manifest));
    const externalFakes = await startExternalFakes(
        { manifest, region: "norte", entries: 0, tokensPerSecond: 200, swapMs: 50, plainLatencyMs: 1 },
        context,
    );
    const agent = new Agent();
    const secureAgent = new HttpsAgent({ ca: readFileSync(pem("authority.cert")) });
    const running = new Map<string, RunningProcess>();

    function settingsOf(name: string, own: Record<string, unknown>): Settings {
        const { objectApiUrl, vmListUrl, weightStoreUrl, scoringUrl } = externalFakes;
        const common = {
            name,
            vm: `vm-${name}`,
            failureDomain: "Lugo",
            region: "norte",
            listenHost: "127.0.0.1",
        };
        const result = validateSettings({
            ...common,
            objectApiUrl,
            vmListUrl,
            weightStoreUrl,
            scoringUrl,
            ...own,
        });
        if (result.kind === "invalid") {
            throw new Error(JSON.stringify(result.faults));
        }
        return result.settings;
    }

    async function restart(
        role: "entry" | "sidecar",
        tokens: ClusterTokens,
        tls?: Settings["tls"],
    ): Promise<RunningProcess> {
        const before = running.get(role);
        await before?.shutdown();
        // Reuses the port, as a process that restarts on the same VM does.
        const listenPort = before === undefined ? 0 : Number(new URL(before.address).port);
        const common = { role, listenPort, shutdownDeadlineMs: 1_000, ...tokens, tls };
        const seeds = [running.get("entry")?.address].filter(Boolean);
        const started = role === "entry"
            ? await startEntry(
                settingsOf("entry-1", {
                    ...common,
                    operatorToken: keys.operator,
                    cursorKey: keys.cursor,
                    manifestPath,
                }),
                context,
            )
            : await startSidecar(
                settingsOf("sidecar-1", {
                    ...common,
                    ...sampler,
                    seeds,
                    backendUrl: [...externalFakes.backendUrls.values()][0],
                }),
                context,
            );
        running.set(role, started);
        return started;
    }

    function call(method: string, path: string, token: string, body?: unknown): Promise<unknown> {
        const { address } = running.get("entry")!;
        const via = address.startsWith("https:") ? secureAgent : agent;
        return callEntry({ agent: via, address, method, path, token, body, timeoutMs: 5_000 });
    }

    /** Waits until a request of a caller succeeds end to end. */
    async function waitUntilServed(): Promise<void> {
        for (;;) {
            const served = await call("GET", "/v1/services/tiles/tiles/1", keys.team).then(
                () => true,
                () => false,
            );
            if (served) {
                return;
            }
            await context.clock.sleep(50);
        }
    }

    return {
        running,
        backend: [...externalFakes.backends.values()][0]!,
        restart,
        call,
        waitUntilServed,
        close: async () => {
            for (const each of [...running.values()].reverse()) {
                await each.shutdown();
            }
            agent.destroy();
            secureAgent.destroy();
            await externalFakes.close();
            await rm(folder, { recursive: true, force: true });
        },
    };
}

let testBed: Awaited<ReturnType<typeof createTestBed>>;
const refusals: string[] = [];
const unauthenticatedStatus = 401;

function recordRefusal(message: unknown): void {
    const { request, response } = message as { request: { url: string; }; response: ServerResponse; };
    if (response.statusCode === unauthenticatedStatus) {
        refusals.push(request.url);
    }
}

beforeEach(async () => {
    lines.length = 0;
    refusals.length = 0;
    subscribe("http.server.response.finish", recordRefusal);
    testBed = await createTestBed();
});

afterEach(async () => {
    unsubscribe("http.server.response.finish", recordRefusal);
    await testBed.close();
});

test("an order to a sidecar from outside the cluster is rejected and changes nothing", async () => {
    // Guards against a sampler that serves weights that no trainer published.
    await testBed.restart("entry", { clusterToken: keys.first, previousClusterToken: undefined });
    const { address } = await testBed.restart("sidecar", {
        clusterToken: keys.first,
        previousClusterToken: undefined,
    });
    await testBed.waitUntilServed();
    const runs = testBed.backend.runsByAttempt().size;
    for (const clusterToken of [undefined, keys.team, keys.operator, keys.second]) {
        const unauthorizedSidecar = createHttpSidecar({ address, clock: context.clock, clusterToken });
        const order = { kind: "loadVersion", policy: "plume", version: 9, job: "j", fencing: 99 };
        const ordered = unauthorizedSidecar.order(order as unknown as SamplerOrder);
        expect(await ordered.catch(codeOf)).toBe(resultCodes.sidecarUnreachable);
        expect(await unauthorizedSidecar.readReport().catch(codeOf)).toBe(resultCodes.sidecarUnreachable);
        const outcome = await unauthorizedSidecar.callPlain(plainRequest, new AbortController().signal);
        expect(outcome).toMatchObject({ kind: "notRun", code: resultCodes.unauthenticated });
        unauthorizedSidecar.close();
    }
    expect(refusals.length).toBeGreaterThan(0);
    expect(testBed.backend.runsByAttempt().size).toBe(runs);
    await testBed.waitUntilServed();
});

test("no process rejects another while a new cluster token is rolled out in three rounds", async () => {
    // Guards against samplers that become unreachable for half of the entries during a token rotation.
    const rounds: ClusterTokens[] = [
        { clusterToken: keys.first, previousClusterToken: undefined },
        { clusterToken: keys.first, previousClusterToken: keys.second },
        { clusterToken: keys.second, previousClusterToken: keys.first },
        { clusterToken: keys.second, previousClusterToken: undefined },
    ];
    for (const [index, tokens] of rounds.entries()) {
        const order = ["entry", "sidecar"] as const;
        for (const role of index === 2 ? order.toReversed() : order) {
            await testBed.restart(role, tokens);
            if (testBed.running.size === order.length) {
                await testBed.waitUntilServed();
            }
        }
    }
    expect(refusals).toEqual([]);
    expect(lines.length).toBeGreaterThan(20);
    const leakedKeys = Object.entries(keys).filter(([, key]) => lines.some(line => line.includes(key)));
    expect(leakedKeys.map(([name]) => name)).toEqual([]);
});

test("operators drain a sampler through its entry", async () => {
    // Guards against `auburnarch drain` failing with an error.
    await testBed.restart("entry", { clusterToken: keys.first, previousClusterToken: undefined });
    await testBed.restart("sidecar", { clusterToken: keys.first, previousClusterToken: undefined });
    await testBed.waitUntilServed();
    const drained = await testBed.call("POST", "/operator/drain", keys.operator, { sampler: "tile-1" });
    expect(drained).toMatchObject({ sampler: "tile-1" });
    const sidecar = createHttpSidecar({
        address: testBed.running.get("sidecar")!.address,
        clock: context.clock,
        clusterToken: keys.first,
    });
    const report: SamplerReport = await sidecar.readReport();
    expect(report.state).toBe("leaving");
    sidecar.close();
});

test("with TLS, processes reject a valid token without a certificate, and callers need no certificate", async () => {
    // Guards against a token stolen from one VM being enough to control all samplers of the fleet.
    const tokens = { clusterToken: keys.first, previousClusterToken: undefined };
    const entry = await testBed.restart("entry", tokens, tlsOf("first"));
    const sidecar = await testBed.restart("sidecar", tokens, tlsOf("second"));
    expect([entry.address, sidecar.address].every(address => address.startsWith("https:"))).toBe(true);
    await testBed.waitUntilServed();
    expect(refusals).toEqual([]);

    const logger = createLogger(context.clock, context.writeLine);
    const untrusted = await createTrust(tlsOf("stranger"), { clock: context.clock, logger });
    const createAgentWithoutCertificate = (options: object) =>
        new HttpsAgent({ ...options, ca: readFileSync(pem("authority.cert")) });
    for (const createSecureAgent of [untrusted.createAgent, createAgentWithoutCertificate]) {
        const callPeer = createPeerCall(keys.first, createSecureAgent);
        const answer = callPeer(entry.address, "describe", {}, 5_000);
        expect(await answer.catch(codeOf)).toBe(resultCodes.peerUnreachable);
        const { address } = sidecar;
        const port = createHttpSidecar({
            address,
            clock: context.clock,
            clusterToken: keys.first,
            createSecureAgent,
        });
        expect(await port.readReport().catch(codeOf)).toBe(resultCodes.sidecarUnreachable);
        port.close();
    }
    untrusted.stop();

    // Nothing is sent when the handshake fails, so the request is known not to have run.
    const files = { ...tlsOf("first"), caPath: pem("otherAuthority.cert") };
    const otherAuthorityTrust = await createTrust(files, { clock: context.clock, logger });
    const port = createHttpSidecar({
        address: sidecar.address,
        clock: context.clock,
        clusterToken: keys.first,
        createSecureAgent: otherAuthorityTrust.createAgent,
    });
    const outcome = await port.callPlain(plainRequest, new AbortController().signal);
    expect(outcome).toMatchObject({ kind: "notRun", code: resultCodes.connectFailed });
    port.close();
    otherAuthorityTrust.stop();
    expect([...new Set(refusals)]).toEqual(["/rpc"]);
    expect(await createPeerCall(keys.first)(entry.address, "describe", {}, 5_000).catch(codeOf)).toBe(
        resultCodes.peerUnreachable,
    );
    await testBed.waitUntilServed();
});
