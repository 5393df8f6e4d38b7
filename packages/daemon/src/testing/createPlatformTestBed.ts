import { createRandom } from "@auburnarch/clock/createRandom";
import { createSystemClock } from "@auburnarch/clock/createSystemClock";
import type { RoleSettings } from "@auburnarch/config/RoleSettings";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createLogger } from "@auburnarch/log/createLogger";
import { createMetrics } from "@auburnarch/metrics/createMetrics";
import { findFreePort } from "@auburnarch/platform/testing/findFreePort";
import { serveFakePlatformStore } from "@auburnarch/platform/testing/serveFakePlatformStore";
import { serveFakeSampler } from "@auburnarch/platform/testing/serveFakeSampler";
import { request } from "node:http";
import type { RoleContext } from "../RoleContext.js";
import type { RunningRole } from "../RunningRole.js";
import { startGateway } from "../startGateway.js";
import { startRunner } from "../startRunner.js";
import type { TestAnswer } from "./TestAnswer.js";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Runs gateways and runners as in production, against fakes of the platform that implement its protocol over HTTP. */
export async function createPlatformTestBed() {
    const clock = createSystemClock(true);
    const store = await serveFakePlatformStore();
    const lines: string[] = [];
    const violations: string[] = [];
    const contexts = new Map<string, RoleContext>();
    const closers: (() => void)[] = [store.close];
    let seed = 100;

    async function createContext(
        role: RoleSettings["role"],
        name: string,
        overrides: Partial<RoleSettings>,
    ): Promise<RoleContext> {
        const internal = await findFreePort();
        const settings: RoleSettings = {
            name,
            role,
            failureDomain: "lugo",
            region: "norte",
            internalHost: "127.0.0.1",
            internalPorts: [internal, internal],
            storeAddress: `127.0.0.1:${store.port}`,
            clientAddress: `127.0.0.1:${await findFreePort()}`,
            readyAddress: `127.0.0.1:${await findFreePort()}`,
            orderHandOverMs: 200,
            gracePeriodMs: 4_000,
            lotRetentionMs: 120_000,
            toleratedLosses: 0,
            textCopies: 0,
            relaysStoreCalls: false,
            prioritizesLateTrainers: false,
            logLevel: "info",
            ...overrides,
        };
        const logger = createLogger(clock, line => lines.push(line)).child({ process: name });
        const invariants = createInvariants(logger, code => violations.push(code.name));
        const metrics = createMetrics();
        const random = createRandom(seed++);
        const context = {
            settings,
            currentSettings: () => settings,
            clock,
            random,
            logger,
            metrics,
            invariants,
        };
        contexts.set(name, context);
        return context;
    }

    async function startGatewayAt(name: string, overrides: Partial<RoleSettings> = {}) {
        const context = await createContext("gateway", name, overrides);
        const role = await startGateway(context);
        const portOf = (address: string | undefined): number => Number(address!.split(":")[1]);
        return {
            role,
            port: portOf(context.settings.clientAddress),
            readyPort: portOf(context.settings.readyAddress),
        };
    }

    async function startRunnerAt(name: string, overrides: Partial<RoleSettings> = {}): Promise<RunningRole> {
        return startRunner(await createContext("runner", name, overrides));
    }

    async function addSampler(options: Parameters<typeof serveFakeSampler>[0]) {
        const put = (entry: Record<string, unknown>): void => store.put("servers", options.id, entry);
        const sampler = await serveFakeSampler({ onEntry: put, ...options });
        put(sampler.entry());
        closers.push(sampler.close);
        return sampler;
    }

    function call(
        port: number,
        method: string,
        path: string,
        headers: Record<string, string> = {},
        body = "",
    ): Promise<TestAnswer> {
        return new Promise((resolve, reject) => {
            const sent = request({
                host: "127.0.0.1",
                port,
                method,
                path,
                headers: { host: "a.example", ...headers },
            }, answer => {
                let text = "";
                answer.on("data", (chunk: Buffer) => (text += chunk.toString("utf8")));
                answer.on(
                    "end",
                    () => resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body: text }),
                );
            });
            sent.on("error", reject);
            sent.end(body);
        });
    }

    /** Calls a process as a peer does and returns the answer as text. */
    async function callInternal(name: string, method: string, params: unknown): Promise<string> {
        const port = contexts.get(name)!.settings.internalPorts[0];
        const sent = JSON.stringify({ jsonrpc: "2.0", id: 1, method, params });
        return (await call(port, "POST", "/rpc", {}, sent)).body;
    }

    /** Waits until `probe` returns a value; only the timeout of the test limits the wait. */
    async function waitFor<T>(probe: () => Promise<T | undefined> | T | undefined): Promise<T> {
        for (;;) {
            const value = await probe();
            if (value !== undefined) {
                return value;
            }
            await sleep(20);
        }
    }

    return {
        store,
        lines,
        violations,
        startGatewayAt,
        startRunnerAt,
        addSampler,
        call,
        callInternal,
        metricsOf: (name: string): Promise<string> => contexts.get(name)!.metrics.render(),
        waitFor,
        close: () => closers.forEach(close => close()),
    };
}
