import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { z } from "zod";
import type { CopyCalls } from "./CopyCalls.js";
import { copySchemas } from "./copySchemas.js";
import type { ReadTextsAnswer } from "./ReadTextsAnswer.js";
import type { ReadTextsRequest } from "./ReadTextsRequest.js";
import type { StoreTextsAnswer } from "./StoreTextsAnswer.js";
import type { StoreTextsRequest } from "./StoreTextsRequest.js";

interface CopyCallerDeps {
    calls: CopyCalls;
    registered: Pick<WatchedKind<RunnerAddress>, "objects">;
    clock: Clock;
    logger: Logger;
}

/** A holder needs a few milliseconds; a longer silence is that of a slow or dead one. */
const storeTimeoutMs = 1_000;
/** A peer of an earlier build may be replaced by one that knows the method. */
const unsupportedMs = 10_000;

/** Creates the calls to peers by name. They reject without an answer or with an invalid one. */
export function createCopyCaller({ calls, registered, clock, logger }: CopyCallerDeps) {
    const unsupportedUntilMs = new Map<string, number>();

    async function call<T>(
        runner: string,
        schema: z.ZodType<T>,
        send: (address: RunnerAddress) => Promise<unknown>,
    ): Promise<T> {
        const address = registered.objects()?.get(runner);
        if (address === undefined) {
            throw new ResultError(resultCodes.sidecarUnreachable, `runner ${runner} is not registered`);
        }
        let answer: unknown;
        try {
            answer = await send(address);
        }
        catch (error) {
            if (codeOf(error).number === resultCodes.badRequest.number) {
                unsupportedUntilMs.set(runner, clock.monotonicMs() + unsupportedMs);
                logger.info("copiesUnsupported", { runner, retryAfterMs: unsupportedMs });
            }
            throw error;
        }
        const parsed = schema.safeParse(answer);
        if (!parsed.success) {
            const issue = parsed.error.issues[0];
            const field = issue?.path.join(".");
            logger.warn("copyMessageInvalid", { from: runner, field, fault: issue?.message });
            throw new ResultError(resultCodes.badRequest, `answer of ${runner}: ${field}`);
        }
        return parsed.data;
    }

    return {
        /** Peers that have answered that they do not know the method, for a limited time. */
        unsupported: (): ReadonlySet<string> =>
            new Set(
                [...unsupportedUntilMs].filter(([, untilMs]) => untilMs > clock.monotonicMs())
                    .map(([runner]) => runner),
            ),
        storeTexts: (runner: string, request: StoreTextsRequest): Promise<StoreTextsAnswer> =>
            call(
                runner,
                copySchemas.storeTextsAnswer,
                address => calls.storeTexts(address, request, storeTimeoutMs),
            ),
        readTexts: (runner: string, request: ReadTextsRequest, timeoutMs: number): Promise<ReadTextsAnswer> =>
            call(
                runner,
                copySchemas.readTextsAnswer,
                address => calls.readTexts(address, request, timeoutMs),
            ),
    };
}
