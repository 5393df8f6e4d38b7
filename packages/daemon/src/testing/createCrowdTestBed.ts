import { encodeTestConfiguration } from "@auburnarch/platform/testing/encodeTestConfiguration";
import { findFreePort } from "@auburnarch/platform/testing/findFreePort";
import { serveFakePlatformStore } from "@auburnarch/platform/testing/serveFakePlatformStore";
import { serveFakeSampler } from "@auburnarch/platform/testing/serveFakeSampler";
import { testClientLimits } from "@auburnarch/platform/testing/testClientLimits";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { readProcessState } from "./readProcessState.js";

interface CrowdTestBedOptions {
    /** Limit of descriptors of the gateway's process; by default that of the test. */
    maxOpenFiles?: number;
}

const binary = fileURLToPath(new URL("../../dist/roleMain.js", import.meta.url));
/** Heap limits of the deployed programs, in MB. */
const heapLimitsMb = { gateway: 120, runner: 140 };
const maxBodyBytes = 33_554_432;
const model = "m0";
const maxLifetimeMs = 170_000;
const pollMs = 50;

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Runs the real programs of a gateway and a runner with the heap limits and body limit of a deployment. */
export async function createCrowdTestBed({ maxOpenFiles }: CrowdTestBedOptions = {}) {
    const folder = await mkdtemp(join(tmpdir(), "auburnarch-crowd-"));
    const store = await serveFakePlatformStore();
    const samplers = [
        await serveFakeSampler({ id: "t-1", service: "tiles" }),
        await serveFakeSampler({ id: "t-2", service: "tiles" }),
        await serveFakeSampler({ id: "e-1", service: "llm", models: [model] }),
    ];
    samplers.forEach(sampler => store.put("servers", sampler.id, sampler.entry()));
    const limits = { ...testClientLimits, "max-body-bytes": maxBodyBytes };
    const configuration = { version: 3, models: [model], extraRoutes: [], limits };
    store.put("config", "main", encodeTestConfiguration(configuration));
    const children: ChildProcess[] = [];
    const ends = new Map<ChildProcess, number | string>();

    async function start(
        role: "gateway" | "runner",
        own: Record<string, unknown>,
        limit?: number,
    ): Promise<ChildProcess> {
        const internalPort = await findFreePort();
        const path = join(folder, `${role}.json`);
        await writeFile(
            path,
            JSON.stringify({
                name: `${role}-1`,
                role,
                failureDomain: "lugo",
                region: "norte",
                internalHost: "127.0.0.1",
                internalPorts: [internalPort, internalPort],
                storeAddress: `127.0.0.1:${store.port}`,
                orderHandOverMs: 3_000,
                gracePeriodMs: 4_000,
                ...own,
            }),
        );
        const command = [process.execPath, `--max-old-space-size=${heapLimitsMb[role]}`, binary, path];
        const setLimit = limit === undefined ? "" : `ulimit -n ${limit}; `;
        const child = spawn("/bin/sh", ["-c", `${setLimit}exec "$0" "$@"`, ...command], { stdio: "ignore" });
        const kill = setTimeout(() => child.kill("SIGKILL"), maxLifetimeMs);
        child.once("exit", (code, signal) => {
            clearTimeout(kill);
            ends.set(child, code ?? signal ?? "");
        });
        children.push(child);
        return child;
    }

    const port = await findFreePort();
    const readyPort = await findFreePort();
    const clientAddress = `127.0.0.1:${port}`;
    const readyAddress = `127.0.0.1:${readyPort}`;
    const gateway = await start("gateway", { clientAddress, readyAddress }, maxOpenFiles);
    const runner = await start("runner", {});

    /** Sends an ordinary request on a new connection; resolves with its status, 0 if there is no answer. */
    function callOnce(path: string, body: string | Uint8Array, at = port): Promise<number> {
        return new Promise(resolve => {
            const sent = request({
                host: "127.0.0.1",
                port: at,
                method: "POST",
                path,
                agent: false,
                headers: { "host": "a.example", "auburnarch-request-id": `q-${Math.random()}` },
            }, answer => {
                answer.resume();
                answer.once("close", () => resolve(answer.complete ? answer.statusCode ?? 0 : 0));
            });
            sent.on("error", () => resolve(0));
            sent.end(body);
        });
    }

    /** `ended` is the exit code or the signal; undefined while the process runs. */
    const stateOf = async (child: ChildProcess) => ({
        ended: ends.get(child),
        ...await readProcessState(child.pid!),
    });

    while (await callOnce("/tiles/1", "ready?") !== 200 && ends.size === 0) {
        await sleep(pollMs);
    }
    return {
        port,
        maxBodyBytes,
        /** Path of a route that takes plain requests, and of one that takes batch jobs. */
        paths: { plain: "/tiles/1", batchJob: `/${model}/lot` },
        callOnce,
        gatewayState: () => stateOf(gateway),
        runnerState: () => stateOf(runner),
        close: async () => {
            children.forEach(child => child.kill("SIGKILL"));
            while (ends.size < children.length) {
                await sleep(pollMs);
            }
            [store, ...samplers].forEach(each => each.close());
            await rm(folder, { recursive: true, force: true });
        },
    };
}
