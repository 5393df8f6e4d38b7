import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import { batchJobSchemas } from "@auburnarch/batches/batchJobSchemas";
import type { ResultsAnswer } from "@auburnarch/batches/ResultsAnswer";
import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { FeedAnswer } from "@auburnarch/feeds/FeedAnswer";
import type { FeedQuery } from "@auburnarch/feeds/FeedQuery";
import { feedSchemas } from "@auburnarch/feeds/feedSchemas";
import type { StoreCall } from "@auburnarch/feeds/StoreCall";
import type { StoreCallAnswer } from "@auburnarch/feeds/StoreCallAnswer";
import { storeCallSchemas } from "@auburnarch/feeds/storeCallSchemas";
import { platformKinds } from "@auburnarch/platform/platformKinds";
import type { CopyCalls } from "@auburnarch/runner/copies/CopyCalls";
import type { RunnerStatus } from "@auburnarch/runner/peers/RunnerStatus";
import type { StatusQuery } from "@auburnarch/runner/peers/StatusQuery";
import { createRpcClient } from "@auburnarch/transport/createRpcClient";
import type { Clock } from "@auburnarch/types/Clock";
import { Agent } from "node:http";
import type { FeedExtras } from "./FeedExtras.js";
import { feedExtrasSchemas } from "./feedExtrasSchemas.js";
import { rpcMethods } from "./rpcMethods.js";

/** Client for calls to runners; each call rejects if the runner does not answer in time. */
interface RunnerClient extends CopyCalls {
    status(address: RunnerAddress, timeoutMs: number, query: StatusQuery): Promise<RunnerStatus>;
    results(
        address: RunnerAddress,
        query: { lot: BatchJobId; fromChunk: number; waitMs: number; },
        timeoutMs: number,
    ): Promise<ResultsAnswer>;
    feed(address: RunnerAddress, query: FeedQuery, timeoutMs: number): Promise<FeedAnswer>;
    /** Rejects with `badRequest` if the runner does not know the method or refuses the call, which is then not made. */
    store(address: RunnerAddress, call: StoreCall, timeoutMs: number): Promise<StoreCallAnswer>;
}

/** Start counts are sent with queries for this kind only, which is often enough for them. */
const configurationPrefix = `${platformKinds.configuration}/`;

/** The answer of a runner that has waited for the store in vain needs a few milliseconds between failure domains. */
const relayAllowanceMs = 100;

/**
 * Creates the client with which one process calls runners over keep-alive connections. Feed queries also carry this
 * process's reports of breaks at samplers and its start counts; their answers carry break reports of other processes
 * and the true time.
 */
export function createRunnerClient(clock: Clock, extras: FeedExtras): RunnerClient {
    const { breakExchange, trueTime, meter } = extras;
    const agent = new Agent({ keepAlive: true });

    function call(
        { host, port }: RunnerAddress,
        method: string,
        params: unknown,
        timeoutMs: number,
    ): Promise<unknown> {
        return createRpcClient({ host, port, agent, clock })(method, params, timeoutMs);
    }

    return {
        status: async (address, timeoutMs, query) =>
            await call(address, rpcMethods.status, query, timeoutMs) as RunnerStatus,
        results: async (address, query, timeoutMs) =>
            batchJobSchemas.resultsAnswer.parse(await call(address, rpcMethods.results, query, timeoutMs)),
        storeTexts: (address, request, timeoutMs) => call(address, rpcMethods.storeTexts, request, timeoutMs),
        readTexts: (address, request, timeoutMs) => call(address, rpcMethods.readTexts, request, timeoutMs),
        store: async (address, relayed, timeoutMs) => {
            const params = { ...relayed, timeoutMs };
            const answer = await call(address, rpcMethods.store, params, timeoutMs + relayAllowanceMs);
            return storeCallSchemas.answer.parse(answer) as StoreCallAnswer;
        },
        feed: async (address, query, timeoutMs) => {
            const runner = `${address.host}:${address.port}`;
            const params = {
                ...query,
                ...breakExchange.createQuery(runner),
                ...(query.prefix === configurationPrefix && meter !== undefined
                    ? { starts: meter.report() }
                    : {}),
            };
            const answer = await call(address, rpcMethods.feed, params, timeoutMs);
            const { trueMs } = feedExtrasSchemas.answer.parse(answer);
            if (trueMs !== undefined) {
                trueTime.recordReading(address.host, trueMs, clock.monotonicMs());
            }
            breakExchange.receiveAnswer(runner, feedSchemas.contents.parse(answer).contents);
            return feedSchemas.answer.parse(answer);
        },
    };
}
