import { codeByNumber } from "@auburnarch/errors/codeByNumber";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { Clock } from "@auburnarch/types/Clock";
import type { SamplerOrderResult } from "@auburnarch/types/SamplerOrderResult";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { Agent, AgentOptions } from "node:http";
import { match } from "ts-pattern";
import { attemptStateSchema } from "./attemptStateSchema.js";
import { createIncarnationTracker } from "./createIncarnationTracker.js";
import { createPlainCaller } from "./createPlainCaller.js";
import { createRpcClient } from "./createRpcClient.js";
import { createSampleCaller } from "./createSampleCaller.js";
import { createSidecarAgent } from "./createSidecarAgent.js";
import { defaultSendGuards } from "./defaultSendGuards.js";
import type { HttpSidecar } from "./HttpSidecar.js";
import { orderResultSchema } from "./orderResultSchema.js";
import { parseAddress } from "./parseAddress.js";
import { samplerReportSchema } from "./samplerReportSchema.js";
import type { SendGuards } from "./SendGuards.js";
import { sidecarHeaders } from "./sidecarHeaders.js";
import { usageCountersSchema } from "./usageCountersSchema.js";

interface HttpSidecarOptions {
    /** `http://ip:port` of the sidecar. */
    address: string;
    clock: Clock;
    guards?: SendGuards;
    /** Authenticates this process to the sidecar; undefined where sidecars require no token. */
    clusterToken?: string;
    /** Creates agents that connect over TLS with this process's certificate; the address is then `https://ip:port`. */
    createSecureAgent?: (options: AgentOptions) => Agent;
    /** Maximum number of idle connections kept open. */
    maxIdleConnections?: number;
}

const queryTimeoutMs = 1_000;
const reportTimeoutMs = 2_000;
/** Exceeds the time that a sidecar may take for download, drain and load together. */
const orderTimeoutMs = 300_000;
const defaultMaxIdleConnections = 64;

/** Creates a client of a sidecar over HTTP. See `SidecarPort` for outcomes and errors. */
export function createHttpSidecar(options: HttpSidecarOptions): HttpSidecar {
    const { clock, guards = defaultSendGuards } = options;
    const { createSecureAgent } = options;
    const { host, port } = parseAddress(options.address, createSecureAgent !== undefined);
    const agent = createSidecarAgent(
        options.maxIdleConnections ?? defaultMaxIdleConnections,
        createSecureAgent,
    );
    const incarnations = createIncarnationTracker();
    let pendingReport: Promise<unknown> | undefined;
    const commonHeaders: Record<string, string> = options.clusterToken === undefined
        ? {}
        : { [sidecarHeaders.clusterToken]: options.clusterToken };
    const callRpc = createRpcClient({ host, port, agent, clock, headers: commonHeaders });

    async function queryAttempt(attempt: AttemptId): ReturnType<SidecarPort["queryAttempt"]> {
        const state = attemptStateSchema.parse(await callRpc("queryAttempt", { attempt }, queryTimeoutMs));
        incarnations.record(state.incarnation);
        return state;
    }

    async function readReport(): ReturnType<SidecarPort["readReport"]> {
        const report = samplerReportSchema.parse(await callRpc("readReport", {}, reportTimeoutMs));
        incarnations.record(report.incarnation);
        return report;
    }

    /** Called before the first attempt: without a known incarnation no later answer could prove that nothing ran. */
    async function learnIncarnation(): Promise<void> {
        if (incarnations.current() === undefined) {
            pendingReport ??= readReport().catch(() => undefined).finally(() => {
                pendingReport = undefined;
            });
            await pendingReport;
        }
    }

    const transport = {
        host,
        port,
        agent,
        clock,
        guards,
        commonHeaders,
        incarnations,
        query: queryAttempt,
        learnIncarnation,
    };
    return {
        runSample: createSampleCaller({
            ...transport,
            cancel: async attempt => void await callRpc("cancelSample", { attempt }, queryTimeoutMs),
        }),
        callPlain: createPlainCaller(transport),
        queryAttempt,
        readReport,
        order: async order => {
            const result = orderResultSchema.parse(await callRpc("order", order, orderTimeoutMs));
            return match(result)
                .returnType<SamplerOrderResult>()
                .with({ kind: "done" }, done => done)
                .with({ kind: "refused" }, refused => ({ ...refused, code: codeByNumber(refused.code) }))
                .with({ kind: "unknown" }, unknown => ({ kind: "unknown", code: codeByNumber(unknown.code) }))
                .exhaustive();
        },
        readUsage: async () => usageCountersSchema.parse(await callRpc("readUsage", {}, reportTimeoutMs)),
        beginLeaving: async () => void await callRpc("beginLeaving", {}, queryTimeoutMs),
        close: () => agent.destroy(),
    };
}
