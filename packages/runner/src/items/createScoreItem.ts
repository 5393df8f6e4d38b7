import type { RoutingView } from "@auburnarch/discovery/RoutingView";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ForwardingOutcome } from "@auburnarch/forwarding/ForwardingOutcome";
import type { RequestForwarder } from "@auburnarch/forwarding/RequestForwarder";
import { findRoute } from "@auburnarch/routing/findRoute";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { ScoreItem } from "./ScoreItem.js";

interface ScoreItemDeps {
    forwardRequest: RequestForwarder;
    routing: RoutingView;
    clock: Clock;
    logger: Logger;
}

/** Time limit of one reward call, including retries at other samplers. It doubles each time it was too short. */
const rewardBudgetMs = 3_000;
const maxRewardBudgetMs = 6_000;
/** A second attempt costs the service as much as the first, so only the slowest one percent of calls gets one. */
const rewardHedgeMs = 400;
const firstPauseMs = 50;
const maxPauseMs = 800;

type Answered = Extract<ForwardingOutcome, { kind: "answered"; }>;

/** Reads a body to its end without keeping it, since only the signature is used. */
async function drain(body: Answered["body"]): Promise<void> {
    for await (const _chunk of body) {
        // Nothing to keep.
    }
}

/**
 * Creates the client of the scoring services. A reward call may be repeated; only responses with status 500 count
 * towards abandoning it, since other failures say nothing about the item. Every such response counts, also if the call
 * ran out of time after it: the trainer waits for the item until it is scored or abandoned. A response that is cut short
 * is another failure.
 */
export function createScoreItem(deps: ScoreItemDeps): ScoreItem {
    /** Whether the response is complete. The forwarder passes on streams unread, so they may break off here. */
    async function isComplete(request: string, answer: Answered): Promise<boolean> {
        try {
            await drain(answer.body);
            return true;
        }
        catch (error) {
            const detail = error instanceof Error ? error.message : String(error);
            deps.logger.info("rewardAnswerBroken", { request, status: answer.status, detail });
            return false;
        }
    }

    return async (call, headers, attempts, signal) => {
        let failures = 0;
        let pauseMs = firstPauseMs;
        let budgetMs = rewardBudgetMs;
        while (!signal.aborted) {
            const table = deps.routing();
            const route = table === undefined ? undefined : findRoute(table, call.host, call.path);
            const needed = Math.max(attempts, route?.maxAttempts ?? 1);
            if (route !== undefined) {
                const { requestId, host, path } = call;
                const body = Buffer.from(call.bodyBase64, "base64");
                const request = {
                    requestId,
                    team: undefined,
                    // The time limit of a route is for requests of clients; reward calls, like items, are exempt from it.
                    route: { ...route, timeoutMs: undefined },
                    method: "POST",
                    host,
                    path,
                    headers,
                    body,
                    deadlineMs: budgetMs,
                    hedgeMs: rewardHedgeMs,
                };
                const outcome = await deps.forwardRequest(request, signal);
                if (outcome.kind === "answered") {
                    const isWhole = await isComplete(call.requestId, outcome);
                    if (isWhole && outcome.status < 300 && outcome.signature !== undefined) {
                        return { kind: "scored", score: outcome.signature };
                    }
                }
                failures += outcome.failedRuns ?? 0;
                if (outcome.kind === "failed" && outcome.code === resultCodes.deadlineWhileRunning) {
                    budgetMs = Math.min(maxRewardBudgetMs, budgetMs * 2);
                }
            }
            if (failures >= needed) {
                deps.logger.warn("rewardFailed", { request: call.requestId, failures });
                return { kind: "failed" };
            }
            await deps.clock.sleep(pauseMs, signal);
            pauseMs = Math.min(maxPauseMs, pauseMs * 2);
        }
        return undefined;
    };
}
