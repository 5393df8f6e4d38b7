import type { BatchJobEntry } from "@auburnarch/batches/BatchJobEntry";
import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { WatchedKind } from "@auburnarch/discovery/WatchedKind";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import { createLimitedLogger } from "@auburnarch/log/createLimitedLogger";
import type { Metrics } from "@auburnarch/metrics/Metrics";
import type { Clock } from "@auburnarch/types/Clock";
import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Logger } from "@auburnarch/types/Logger";
import type { z } from "zod";
import type { TextCache } from "../items/TextCache.js";
import type { PeerView } from "../peers/PeerView.js";
import type { CopiedRun } from "./CopiedRun.js";
import type { CopyCalls } from "./CopyCalls.js";
import { copySchemas } from "./copySchemas.js";
import { createCopyCaller } from "./createCopyCaller.js";
import { createHeldCopies } from "./createHeldCopies.js";
import { createTextCollector } from "./createTextCollector.js";
import { createTextCopier } from "./createTextCopier.js";
import type { TextCopies } from "./TextCopies.js";

interface TextCopiesDeps {
    self: string;
    incarnation: string;
    failureDomain: FailureDomain;
    /** Number of copies of each text, at least 1. */
    copies: number;
    calls: CopyCalls;
    textCache: TextCache;
    entries: Pick<WatchedKind<BatchJobEntry>, "objects">;
    registered: Pick<WatchedKind<RunnerAddress>, "objects">;
    peers: () => PeerView[];
    listRuns: () => CopiedRun[];
    /** Whether all results of a batch job that no longer runs here are in the store. */
    isFinished: (lot: BatchJobId) => boolean;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
}

/** A peer whose messages are invalid may send several per second. */
const maxFaultLinesPerSecond = 3;

/** Creates the copies of texts of one runner and starts sending them. */
export function createTextCopies(deps: TextCopiesDeps): TextCopies {
    const { textCache } = deps;
    const logger = createLimitedLogger(deps.clock, deps.logger, maxFaultLinesPerSecond);
    const held = createHeldCopies({ ...deps, copies: textCache.copies });
    const caller = createCopyCaller({ ...deps, logger });
    const copier = createTextCopier({ ...deps, unsupported: caller.unsupported, send: caller.storeTexts });

    function parse<T>(schema: z.ZodType<T>, params: unknown): T {
        const parsed = schema.safeParse(params);
        if (!parsed.success) {
            const issue = parsed.error.issues[0];
            const field = issue?.path.join(".");
            const { from } = (params ?? {}) as { from?: unknown; };
            logger.warn("copyMessageInvalid", { from: String(from), field, fault: issue?.message });
            throw new ResultError(resultCodes.badRequest, `${field}: ${issue?.message}`);
        }
        return parsed.data;
    }

    return {
        storeTexts: params => held.store(parse(copySchemas.storeTexts, params)),
        readTexts: params => held.read(parse(copySchemas.readTexts, params)),
        collect: createTextCollector({
            ...deps,
            held,
            unsupported: caller.unsupported,
            read: caller.readTexts,
        }),
        stop: () => {
            copier.stop();
            held.stop();
        },
    };
}
