import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { lotSchemas } from "@auburnarch/lots/lotSchemas";
import type { FeedHub } from "@auburnarch/peers/FeedHub";
import { feedSchemas } from "@auburnarch/peers/feedSchemas";
import type { Runner } from "@auburnarch/runner/Runner";
import { match } from "ts-pattern";
import { rpcMethods } from "./rpcMethods.js";

interface PeerAnswersDeps {
    /** Both are asked for at each call: they are made after the process listens. */
    runner: () => Pick<Runner, "status" | "results">;
    hub: () => Pick<FeedHub, "answer">;
}

/** Answers the calls of gateways and other runners; rejects with `badRequest` for a method that it does not know. */
export function createPeerAnswers(
    { runner, hub }: PeerAnswersDeps,
): (method: string, params: unknown) => Promise<unknown> {
    return async (method, params) =>
        match(method)
            .with(rpcMethods.status, () => runner().status())
            .with(rpcMethods.results, () => {
                const { lot, fromChunk, waitMs } = lotSchemas.resultsQuery.parse(params);
                return runner().results(lot, fromChunk, waitMs);
            })
            .with(rpcMethods.feed, () => hub().answer(feedSchemas.query.parse(params)))
            .otherwise(() => {
                throw new ResultError(resultCodes.badRequest, `method ${method}`);
            });
}
