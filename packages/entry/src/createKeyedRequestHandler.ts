import { keyCreatedAtMs } from "@auburnarch/admission/keyCreatedAtMs";
import type { KeyRange } from "@auburnarch/admission/KeyRange";
import { rangeOf } from "@auburnarch/admission/rangeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { AttemptOutcome } from "@auburnarch/types/AttemptOutcome";
import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Logger } from "@auburnarch/types/Logger";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { CallerRequest } from "./CallerRequest.js";
import type { ForwardPlain } from "./ForwardPlain.js";

const retryAfterMs = 1_000;
/** An owner that crashes is replaced when its lease expires; until then callers are asked to retry. */
const maxForwards = 2;

type Outcome = AttemptOutcome<PlainAnswer>;

interface KeyedRequestHandlerDeps {
    clock: Clock;
    logger: Logger;
    selfAddress: string;
    findRange: (range: number) => KeyRange | undefined;
    /** Returns the last announced address of the entry that owns a range. */
    findOwnerAddress: (range: number) => string | undefined;
    forward: ForwardPlain;
}

const notRun = (code: typeof resultCodes[keyof typeof resultCodes]): Outcome => ({
    kind: "notRun",
    code,
    retryAfterMs,
});

/**
 * Runs a non-idempotent request with a key: here if this entry owns the key's range, otherwise at the owner. After a
 * broken connection the request may be forwarded again, because the owner remembers the key and does not run it twice.
 */
export function createKeyedRequestHandler(
    deps: KeyedRequestHandlerDeps,
): (
    request: CallerRequest,
    digest: ContentDigest,
    budgetMs: number,
    execute: (signal: AbortSignal) => Promise<Outcome>,
    signal: AbortSignal,
) => Promise<Outcome> {
    const { clock, logger } = deps;

    async function forwardToOwner(
        request: CallerRequest,
        range: number,
        budgetMs: number,
        signal: AbortSignal,
    ): Promise<Outcome> {
        const deadlineMs = clock.monotonicMs() + budgetMs;
        let outcome: Outcome = notRun(resultCodes.notOwner);
        for (let tries = 0; tries < maxForwards; tries++) {
            const address = deps.findOwnerAddress(range);
            const leftMs = deadlineMs - clock.monotonicMs();
            if (address === undefined || address === deps.selfAddress || leftMs <= 0) {
                return outcome;
            }
            logger.info("requestPassedOn", { key: request.idempotencyKey, range, address, tries });
            const latest = await deps.forward(address, { ...request, budgetMs: Math.ceil(leftMs) }, signal);
            if (latest.kind === "ran") {
                return latest;
            }
            // If an earlier attempt may have run, a later "not run" applies only to the later attempt.
            outcome = outcome.kind === "unknown" ? outcome : latest;
            if (signal.aborted || (latest.kind === "notRun" && latest.code !== resultCodes.connectFailed)) {
                return outcome;
            }
        }
        return outcome;
    }

    return async (request, digest, budgetMs, execute, signal) => {
        const key = request.idempotencyKey!;
        if (keyCreatedAtMs(key) === undefined) {
            return { kind: "notRun", code: resultCodes.keyNotUuidV7, retryAfterMs: undefined };
        }
        const range = rangeOf(key);
        const here = deps.findRange(range);
        if (here !== undefined) {
            // The run continues if the caller disconnects: other callers with the same key wait for its answer.
            return here.run({ team: request.team, key, digest }, () => execute(new AbortController().signal));
        }
        return request.forwarded
            ? notRun(resultCodes.notOwner)
            : forwardToOwner(request, range, budgetMs, signal);
    };
}
