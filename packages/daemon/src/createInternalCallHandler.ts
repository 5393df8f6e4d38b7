import { batchJobSchemas } from "@auburnarch/batches/batchJobSchemas";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { FeedHub } from "@auburnarch/feeds/FeedHub";
import { feedSchemas } from "@auburnarch/feeds/feedSchemas";
import { statusQuerySchema } from "@auburnarch/runner/peers/statusQuerySchema";
import type { Runner } from "@auburnarch/runner/Runner";
import { match } from "ts-pattern";
import type { FeedExtras } from "./FeedExtras.js";
import { feedExtrasSchemas } from "./feedExtrasSchemas.js";
import { rpcMethods } from "./rpcMethods.js";

interface InternalCallHandlerDeps {
    /**
     * The runner and the hub are looked up at each call, because they are created after the process starts to listen.
     */
    runner: () => Pick<Runner, "status" | "results" | "copies">;
    hub: () => Pick<FeedHub, "answer">;
    extras: FeedExtras;
    /** Makes store calls for peers; undefined if this runner does not. */
    relayed?: (params: unknown) => Promise<unknown>;
}

const unknownMethod = (method: string): ResultError =>
    new ResultError(resultCodes.badRequest, `method ${method}`);

/** Handles the calls of gateways and other runners; rejects unknown methods with `badRequest`. */
export function createInternalCallHandler(
    { runner, hub, relayed, extras: { breakExchange, starts, trueTime } }: InternalCallHandlerDeps,
): (method: string, params: unknown) => Promise<unknown> {
    async function handleFeedQuery(params: unknown): Promise<unknown> {
        const query = feedSchemas.query.parse(params);
        const received = feedSchemas.contents.parse(params).contents;
        breakExchange.receiveQuery(received);
        const report = feedExtrasSchemas.query.parse(params).starts;
        if (report !== undefined) {
            starts?.merge(report);
        }
        const answer = await hub().answer(query);
        return {
            ...answer,
            ...(starts === undefined ? {} : { trueMs: trueTime.nowMs() }),
            ...breakExchange.createAnswer(received),
        };
    }

    /** A runner without copies answers like one of a build that does not know the methods. */
    function requireCopies(method: string): NonNullable<Runner["copies"]> {
        const { copies } = runner();
        if (copies === undefined) {
            throw unknownMethod(method);
        }
        return copies;
    }

    return async (method, params) =>
        match(method)
            .with(rpcMethods.status, () => runner().status(statusQuerySchema.parse(params ?? {})))
            .with(rpcMethods.results, () => {
                const { lot, fromChunk, waitMs } = batchJobSchemas.resultsQuery.parse(params);
                return runner().results(lot, fromChunk, waitMs);
            })
            .with(rpcMethods.feed, () => handleFeedQuery(params))
            .with(rpcMethods.storeTexts, () => requireCopies(method).storeTexts(params))
            .with(rpcMethods.readTexts, () => requireCopies(method).readTexts(params))
            .with(rpcMethods.store, () => {
                if (relayed === undefined) {
                    throw unknownMethod(method);
                }
                return relayed(params);
            })
            .otherwise(() => {
                throw unknownMethod(method);
            });
}
