import { fork, spawn } from "node:child_process";
import {
    appendFileSync,
    existsSync,
    mkdirSync,
    mkdtempSync,
    readFileSync,
    rmSync,
    writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { createStore } from "./createStore.mjs";
import { renderTemplate } from "./renderTemplate.mjs";

const root = fileURLToPath(new URL("../..", import.meta.url));
const samplerProgram = fileURLToPath(new URL("./samplerProcess.mjs", import.meta.url));
const limitMs = 110_000;
/** Values of the small deployments. */
const contractParams = { "lease-ms": 3_000, "status-s": 120, "grace-period-s": 8 };
const zones = ["pamplona", "lugo", "burgos", "bilbao"];

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Waits until `isMet` returns true; false if that takes longer than `timeoutMs`. */
export async function waitFor(isMet, timeoutMs) {
    const endMs = Date.now() + timeoutMs;
    while (Date.now() < endMs) {
        if (await isMet()) {
            return true;
        }
        await sleep(50);
    }
    return false;
}

function findFreePort(host) {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });
}

/** Command and template of a role, as `deploy/system.toml` states them. */
function readRole(role) {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const section = text.split(/^\[/mu).find(part => part.startsWith(`roles.${role}]`)) ?? "";
    const valueOf = key => new RegExp(`^${key} = "([^"]*)"`, "mu").exec(section)?.[1];
    return { run: valueOf("run"), template: valueOf("template") };
}

/**
 * Starts a store, samplers and the project's own programs, each program with the command and the settings template of
 * the deploy file. All processes end with `close`, and at the latest when this process exits.
 */
export async function createBed({ folder, fateOf }) {
    const recordPath = join(folder, "record.txt");
    const startedAtMs = Date.now();
    writeFileSync(recordPath, "");
    const network = `127.${50 + process.pid % 150}`;
    const work = mkdtempSync(join(tmpdir(), "auburnarch-review-"));
    const store = await createStore({ host: `${network}.0.1`, fateOf });
    const children = new Set();
    const samplers = new Map();
    const exits = [];
    const logs = [];
    let isClosing = false;

    function record(kind, fields = {}) {
        const atMs = String(Date.now() - startedAtMs).padStart(6);
        appendFileSync(recordPath, `${atMs} ${kind} ${JSON.stringify(fields)}\n`);
    }

    function killAll() {
        isClosing = true;
        children.forEach(child => child.kill("SIGKILL"));
        rmSync(work, { recursive: true, force: true });
    }

    process.once("exit", killAll);
    for (const event of ["uncaughtException", "unhandledRejection"]) {
        process.on(event, error => {
            console.error(error);
            process.exit(2);
        });
    }
    for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
        process.once(signal, () => process.exit(2));
    }
    const limit = setTimeout(() => {
        record("timeLimit");
        process.exit(2);
    }, limitMs);

    function adopt(child) {
        children.add(child);
        child.once("exit", () => children.delete(child));
        return child;
    }

    async function startProgram(role, index) {
        const isGateway = role === "gateway";
        const name = `${isGateway ? "front" : "storage"}-${zones[index]}-1`;
        const ip = `${network}.${isGateway ? 1 : 2}.${index + 1}`;
        const [front, ready, internal] = [
            await findFreePort(ip),
            await findFreePort(ip),
            await findFreePort(ip),
        ];
        const dataFolder = join(work, `${name}-data`);
        mkdirSync(dataFolder, { recursive: true });
        const { run, template } = readRole(role);
        const settings = renderTemplate(readFileSync(join(root, template), "utf8"), {
            "node-name": name,
            zone: zones[index],
            region: "norte",
            ip,
            "internal-ports": [internal, internal],
            platform: { address: store.address },
            "listen-addrs": { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
            "contract-params": contractParams,
            ...(isGateway ? {} : { "data-dir": dataFolder }),
        });
        const settingsPath = join(work, `${name}.settings`);
        writeFileSync(settingsPath, settings);
        const [command, ...args] = run.split(" ");
        const env = {
            PATH: process.env.PATH,
            HOME: process.env.HOME,
            LANG: "C.UTF-8",
            AUBURNARCH_BOOT: settingsPath,
        };
        const program = { name, role, host: ip, port: front, readyPort: ready, hasStarted: false, starts: 0 };

        function start() {
            program.starts++;
            const child = adopt(spawn(command, args, { cwd: root, env, stdio: ["ignore", "pipe", "pipe"] }));
            program.pid = child.pid;
            record("programStarted", { name, start: program.starts });
            for (const stream of [child.stdout, child.stderr]) {
                createInterface({ input: stream }).on("line", line => {
                    logs.push(`${name} ${line}`);
                    program.hasStarted ||= line.includes(" event=started ");
                });
            }
            child.once("exit", (code, signal) => {
                if (!isClosing) {
                    exits.push({ name, code, signal });
                    record("programEndedByItself", { name, code, signal });
                    // The platform starts a process again that has ended.
                    setTimeout(() => isClosing ? undefined : start(), 300);
                }
            });
        }

        start();
        return program;
    }

    /** Starts a sampler and registers it; its entry in the store follows its weights. */
    async function startSampler({ id, service, models = [], startVersions = {}, zone = "lugo", ...options }) {
        const host = `${network}.3.${samplers.size + 1}`;
        const versions = Object.fromEntries(models.map(model => [model, startVersions[model] ?? 1]));
        const settings = {
            id,
            host,
            models,
            startVersions: versions,
            eventIntervalMs: 50,
            loadMs: 900,
            ...options,
        };
        const child = adopt(
            fork(samplerProgram, [JSON.stringify(settings)], {
                stdio: ["ignore", "ignore", "ignore", "ipc"],
            }),
        );
        const sampler = { id, service, runs: [], ended: [], plain: [], orders: [], served: [], isUp: true };
        let entrySequence = 0;
        let port = 0;

        function register() {
            entrySequence++;
            store.put("servers", id, {
                service,
                address: `${host}:${port}`,
                zone,
                version: "v1",
                "max-batch-size": 12,
                state: "ready",
                "cold-remaining-ms": 0,
                sequence: entrySequence,
                models: sampler.served,
            });
        }

        sampler.kill = () => {
            sampler.isUp = false;
            child.kill("SIGKILL");
            record("samplerKilled", { sampler: id });
            // Three heartbeat intervals of silence remove the entry.
            setTimeout(() => store.remove("servers", id), 3_600);
        };
        await new Promise((resolve, reject) => {
            child.once("error", reject);
            child.on("message", message => {
                const { kind, ...fields } = message;
                record(`sampler.${kind}`, { sampler: id, ...fields });
                if (kind === "listening" || kind === "loaded") {
                    port = fields.port ?? port;
                    sampler.served = fields.models;
                    register();
                    resolve();
                }
                ({ run: sampler.runs, ended: sampler.ended, plain: sampler.plain, order: sampler.orders })[
                    kind
                ]
                    ?.push(fields);
            });
        });
        samplers.set(id, sampler);
        return sampler;
    }

    return {
        store,
        record,
        startProgram,
        startSampler,
        exits,
        logs,
        close: async () => {
            clearTimeout(limit);
            killAll();
            await waitFor(() => children.size === 0, 2_000);
            store.close();
        },
    };
}

/** Ends the script as the review asks: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(run) {
    if (!existsSync(join(root, "target/roleMain.cjs"))) {
        console.error("target/roleMain.cjs is missing: run npm run build and node scripts/bundle.mjs first");
        process.exit(2);
    }
    try {
        const { isBroken, summary } = await run();
        console.log(`${isBroken ? "BROKEN" : "HELD"}: ${summary}`);
        process.exit(isBroken ? 1 : 0);
    }
    catch (error) {
        console.error(error);
        process.exit(2);
    }
}
