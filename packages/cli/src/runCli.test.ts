import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import { readFile } from "node:fs/promises";
import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";
import { afterEach, expect, test } from "vitest";
import type { CliIo } from "./CliIo.js";
import { createOperatorClient } from "./createOperatorClient.js";
import { exitCodes } from "./exitCodes.js";
import { runCli } from "./runCli.js";

const token = "operator-token-of-the-tests";
const examples = fileURLToPath(new URL("../../../examples/", import.meta.url));
const manifestPath = `${examples}humoboira.manifest.json`;
const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach(close => close()));

const failure = ({ number, name, httpStatus, meaning, action }: ResultCode, more: object = {}) => ({
    status: httpStatus,
    body: { code: number, name, message: meaning, action, ...more },
});

async function readJson(request: IncomingMessage): Promise<unknown> {
    const parts: Buffer[] = [];
    for await (const part of request) {
        parts.push(part as Buffer);
    }
    return parts.length === 0 ? undefined : JSON.parse(Buffer.concat(parts).toString()) as unknown;
}

type Answer = { status?: number; body: unknown; } | "hangUp";
type Routes = Record<string, (body: unknown) => Answer>;

/** Starts a fake entry that answers operator API calls from fixed routes. */
async function startEntry(routes: Routes): Promise<string> {
    const server = createServer((request, response) => {
        void readJson(request).then(body => {
            const known = request.headers.authorization === `Bearer ${token}`;
            const route = routes[`${request.method} ${request.url}`];
            const answer = !known
                ? failure(resultCodes.unauthenticated)
                : route?.(body) ?? failure(resultCodes.notFound);
            if (answer === "hangUp") {
                request.socket.destroy();
                return;
            }
            response.writeHead(answer.status ?? 200, { "content-type": "application/json" });
            response.end(JSON.stringify(answer.body));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    closers.push(() => {
        server.close();
        server.closeAllConnections();
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function run(args: string[], env: Record<string, string> = {}, files: Record<string, string> = {}) {
    const clock = createFakeClock();
    const output = { out: "", err: "" };
    const io: CliIo = {
        writeOut: text => void (output.out += text),
        writeError: text => void (output.err += text),
        isTerminal: false,
        readFile: path => path in files ? Promise.resolve(files[path]!) : readFile(path, "utf8"),
        readEnv: name => env[name],
        // A sleep advances the fake clock, so that polling does not block.
        clock: { ...clock, sleep: ms => clock.advance(ms) },
        createClient: createOperatorClient,
    };
    const exitCode = await runCli(args, io);
    const place = env["AUBURNARCH_ENTRY"] ?? "no entry named";
    const clean = (text: string): string => text.replaceAll(place, "ENTRY").replaceAll(examples, "examples/");
    return { exitCode, out: clean(output.out), err: clean(output.err) };
}

async function runAgainst(routes: Routes, args: string[], files: Record<string, string> = {}) {
    const entry = await startEntry(routes);
    return run(args, { AUBURNARCH_ENTRY: entry, AUBURNARCH_OPERATOR_TOKEN: token }, files);
}

const member = (name: string, role: string, failureDomain: string, configVersion: number) => ({
    name,
    role,
    vm: `vm-of-${name}`,
    address: "http://10.0.0.1:7400",
    failureDomain,
    region: "norte",
    state: "ready",
    configVersion,
    ageMs: 412.3,
});

const statusOf = (configVersion: number, ...versions: number[]) => ({
    entry: "entry-1",
    configVersion,
    manifestName: "humoboira",
    ready: true,
    storeReachable: true,
    members: versions.map((version, at) => member(`entry-${at + 1}`, "entry", "Lugo", version)),
});

const readManifest = async (): Promise<Record<string, unknown>> =>
    JSON.parse(await readFile(manifestPath, "utf8")) as Record<string, unknown>;

test("help is shown, and unknown commands, unknown flags and invalid arguments are rejected", async () => {
    expect(await run(["--help"])).toMatchSnapshot("main help");
    expect(await run(["apply", "--help"])).toMatchSnapshot("apply help");
    expect(await run(["quarantine", "lift", "--help"])).toMatchSnapshot("lift help");
    expect(await run([])).toMatchSnapshot("no command");
    expect(await run(["statsu"])).toMatchSnapshot("unknown command");
    expect(await run(["apply", "x.json", "--dry-rum"])).toMatchSnapshot("unknown flag");
    expect(await run(["apply"])).toMatchSnapshot("missing argument");
    expect(await run(["status", "now"])).toMatchSnapshot("too many arguments");
    expect(await run(["status", "--entry"])).toMatchSnapshot("missing value");
    expect(await run(["status", "--entry", "entry-1"])).toMatchSnapshot("no URL");
    expect(await run(["apply", manifestPath, "--timeout", "soon"])).toMatchSnapshot("no number");
});

test("docs/cli.md lists each exit code and each command", async () => {
    const page = await readFile(fileURLToPath(new URL("../../../docs/cli.md", import.meta.url)), "utf8");
    const rows = [...page.matchAll(/^\| (\d) \| `(\w+)` \|/gmu)].map(found => [found[2], Number(found[1])]);
    expect(Object.fromEntries(rows)).toEqual(exitCodes);
    const documented = [...page.matchAll(/^\| `(\w+)/gmu)].map(found => found[1]);
    const { out } = await run(["--help"]);
    const commands = out.split("\n")[2]!.split(" ").at(-1)!.split("|");
    expect(commands).toEqual([...new Set(documented)]);
});

test("validate reports every fault and needs no entry", async () => {
    expect(await run(["validate", manifestPath])).toMatchSnapshot("valid");
    const bad = { "bad.json": JSON.stringify({ ...await readManifest(), jbos: [], teams: [] }) };
    expect(await run(["validate", "bad.json"], {}, bad)).toMatchSnapshot("faults");
    expect(await run(["validate", "bad.json", "--json"], {}, bad)).toMatchSnapshot("faults as JSON");
    expect(await run(["validate", "--settings", `${examples}entry.settings.json`])).toMatchSnapshot(
        "settings",
    );
    expect((await run(["validate", "absent.json"])).exitCode).toBe(2);
});

test("status shows which processes have the active version", async () => {
    const routes = { "GET /operator/status": () => ({ body: statusOf(7, 7, 6) }) };
    expect(await runAgainst(routes, ["status"])).toMatchSnapshot();
    expect(JSON.parse((await runAgainst(routes, ["status", "--json"])).out)).toEqual(statusOf(7, 7, 6));
});

test("jobs, samplers, usage, explain and quarantine print readable output", async () => {
    const job = {
        job: "plume-train",
        team: "plume-forecast",
        policy: "plume",
        owner: "entry-1",
        fencing: 12,
    };
    const progress = { step: 3, groupsDelivered: 5, groups: 8, publishedVersion: 4, needInMs: 61_000 };
    const idle = { job: "ridge-train", team: "ridge", policy: "ridge", groupsDelivered: 0, groups: 0 };
    const report = {
        sampler: "rollout-1",
        service: "plume-rollouts",
        failureDomain: "Lugo",
        state: "ready",
        served: [{ policy: "plume", version: 4 }],
        running: 3,
        waiting: 1,
        limit: 7.6,
    };
    const use = {
        team: "plume-forecast",
        samples: 64,
        deliveredEngineMs: 93_400,
        deliveredTokens: 51_200,
        discardedEngineMs: 0,
        overheadEngineMs: 1_210,
        interactiveEngineMs: 0,
        interactiveRequests: 0,
    };
    const decision = {
        atMs: 1_700_000_000_000,
        event: "samplerPicked",
        fields: { sampler: "rollout-1", candidates: 6 },
    };
    const record = {
        digest: "ab".repeat(8),
        deaths: [{ vm: "a", bootId: "1", atMs: 1 }, { vm: "b", bootId: "1", atMs: 2 }],
        expiresAtMs: 1_700_000_000_000,
    };
    const routes: Routes = {
        "GET /operator/jobs": () => ({ body: { jobs: [{ ...job, ...progress }, idle] } }),
        "GET /operator/samplers": () => ({
            body: { samplers: [{ report, reportAgeMs: 230.4, suspected: false }] },
        }),
        "GET /operator/usage": () => ({ body: { teams: [use], unreadSamplers: ["rollout-5"] } }),
        "GET /operator/explain?id=plume-train%2F3%2F0%2F1": () => ({
            body: { id: "x", decisions: [decision] },
        }),
        "GET /operator/explain?id=absent": () => ({ body: { id: "absent", decisions: [] } }),
        "GET /operator/quarantine": () => ({ body: { records: [record] } }),
        "POST /operator/quarantine/lift": () => ({ body: { records: [] } }),
    };
    for (
        const args of [
            ["jobs"],
            ["samplers"],
            ["usage"],
            ["explain", "plume-train/3/0/1"],
            ["explain", "absent"],
            ["quarantine", "list"],
            ["quarantine", "lift", record.digest],
        ]
    ) {
        expect(await runAgainst(routes, args)).toMatchSnapshot(args.join(" "));
    }
});

test("apply --dry-run shows the difference and publishes nothing", async () => {
    const before = await readManifest();
    const routes: Routes = {
        "GET /operator/manifest": () => ({
            body: { version: 7, manifest: { ...before, jobs: [], limits: {} } },
        }),
        "POST /operator/manifest": () => {
            throw new Error("published");
        },
    };
    expect(await runAgainst(routes, ["apply", manifestPath, "--dry-run"])).toMatchSnapshot();
});

test("apply --wait shows progress until the version is active on every process", async () => {
    const versions = [[8, 7, 7], [8, 8, 7], [8, 8, 8]];
    const routes: Routes = {
        "GET /operator/manifest": () => ({ body: { version: 0 } }),
        "POST /operator/manifest": body => {
            expect(body).toMatchObject({ expectedVersion: 0, manifest: { name: "humoboira" } });
            return { body: { version: 8, changed: true } };
        },
        "GET /operator/status": () => ({ body: statusOf(8, ...(versions.shift() ?? [8])) }),
    };
    expect(await runAgainst(routes, ["apply", manifestPath, "--wait"])).toMatchSnapshot("in force");
    routes["GET /operator/status"] = () => ({ body: statusOf(8, 8, 7) });
    const late = await runAgainst(routes, ["apply", manifestPath, "--wait", "--timeout", "2", "--json"]);
    expect(late.exitCode).toBe(7);
    expect(JSON.parse(late.out)).toMatchObject({ version: 8, everywhere: false, behind: ["entry-2"] });
});

test("apply shows what the winning version changed when it loses a race", async () => {
    // Guards against lost updates when two pipelines publish at the same time.
    const before = { ...await readManifest(), limits: { interactiveWaitMs: 10 } };
    const won = structuredClone(before) as { teams: { share: number; }[]; limits: object; };
    won.teams[0]!.share = 0.1;
    const current = { version: 8, manifest: won };
    const routes: Routes = {
        "GET /operator/manifest": () => ({ body: { version: 7, manifest: before } }),
        "POST /operator/manifest": () => failure(resultCodes.manifestRaced, { current }),
    };
    expect(await runAgainst(routes, ["apply", manifestPath])).toMatchSnapshot();
});

test("apply reads the published manifest back when the answer to its publication is lost", async () => {
    let published: { version: number; manifest?: unknown; } = { version: 0 };
    const routes: Routes = {
        "GET /operator/manifest": () => ({ body: published }),
        "POST /operator/manifest": body => {
            published = { version: 8, manifest: (body as { manifest: unknown; }).manifest };
            return "hangUp";
        },
    };
    const applied = await runAgainst(routes, ["apply", manifestPath, "--json"]);
    expect(applied.exitCode).toBe(0);
    expect(JSON.parse(applied.out)).toMatchObject({ version: 8, changed: true });
    published = { version: 0 };
    routes["POST /operator/manifest"] = () => "hangUp";
    expect((await runAgainst(routes, ["apply", manifestPath])).exitCode).toBe(5);
});

test("drain --wait ends when the sampler has no attempts left", async () => {
    const left = [2, 1, 0];
    const routes: Routes = {
        "POST /operator/drain": () => ({ body: { sampler: "rollout-1", running: 2 } }),
        "GET /operator/samplers": () => ({
            body: {
                samplers: [{ report: { sampler: "rollout-1", running: left.shift() ?? 0, waiting: 0 } }],
            },
        }),
    };
    expect(await runAgainst(routes, ["drain", "rollout-1"])).toMatchSnapshot("without waiting");
    expect(await runAgainst(routes, ["drain", "rollout-1", "--wait"])).toMatchSnapshot("waiting");
});

test("errors are printed with their number and an action", async () => {
    const entry = await startEntry({});
    const env = { AUBURNARCH_ENTRY: entry, AUBURNARCH_OPERATOR_TOKEN: "wrong" };
    expect(await run(["status"], env)).toMatchSnapshot("wrong token");
    expect(await run(["status", "--json"], env)).toMatchSnapshot("wrong token as JSON");
    const unreachable = await run(["status", "--entry", "http://127.0.0.1:1"]);
    expect(unreachable.exitCode).toBe(5);
    expect(unreachable.err).toContain("peerUnreachable");
});
