import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { ChangeOutcome } from "@auburnarch/batches/ChangeOutcome";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { BodyHold } from "@auburnarch/overload/BodyHold";
import type { RoutingTable } from "@auburnarch/routing/RoutingTable";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { ClientAnswer } from "./ClientAnswer.js";
import type { ClientRequest } from "./ClientRequest.js";
import type { GatewayDeps } from "./GatewayDeps.js";
import { readHeldBody } from "./readHeldBody.js";

/** Handles calls about batch jobs of the caller's team. Every call may reject with a `ResultError`. */
interface BatchJobHandler {
    accept(
        id: string,
        caller: TeamId | undefined,
        request: ClientRequest,
        table: RoutingTable,
        signal: AbortSignal,
    ): Promise<ClientAnswer>;
    read(
        batchJobId: BatchJobId,
        caller: TeamId | undefined,
        after: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<ClientAnswer>;
    readItem(batchJobId: BatchJobId, caller: TeamId | undefined, item: string): Promise<ClientAnswer>;
    end(batchJobId: BatchJobId, caller: TeamId | undefined): Promise<ClientAnswer>;
}

/** Limits the time in which a batch job is received if the client has set no deadline. */
const maxReadMs = 10_000;
/** Memory that the decoded batch job and its encoded copy take for each byte of the body. */
const decodedBytesPerByte = 8;

/**
 * Throws unless the change was made. Only a proof that nothing was changed is answered with the status of its code, from
 * which clients may conclude "not run".
 */
function requireDone(outcome: ChangeOutcome, unknownCode: ResultCode): void {
    if (outcome.kind === "refused") {
        throw outcome.proof;
    }
    if (outcome.kind === "unknown") {
        const { error, readBackError } = outcome;
        const suffix = readBackError === undefined ? "" : `; read back: ${String(readBackError)}`;
        throw new ResultError(unknownCode, `${String(error)}${suffix}`);
    }
}

/** Creates a gateway's handler of batch job calls. */
export function createBatchJobHandler(deps: GatewayDeps): BatchJobHandler {
    const { clock, logger } = deps;

    async function accept(
        id: string,
        team: TeamId | undefined,
        request: ClientRequest,
        table: RoutingTable,
        signal: AbortSignal,
    ): Promise<ClientAnswer> {
        const hold = deps.bodyBudget.open();
        try {
            return await acceptHeld(id, team, request, table, hold, signal);
        }
        finally {
            hold.close();
        }
    }

    async function acceptHeld(
        id: string,
        team: TeamId | undefined,
        request: ClientRequest,
        table: RoutingTable,
        hold: BodyHold,
        signal: AbortSignal,
    ): Promise<ClientAnswer> {
        const startedAtMs = clock.monotonicMs();
        // A larger batch job could not be decoded within the memory, also if nothing else is held.
        const maxDecodableBytes = Math.floor(deps.bodyBudget.maxBodyBytes / (1 + decodedBytesPerByte));
        const maxBodyBytes = Math.min(table.clientLimits.maxBodyBytes, maxDecodableBytes);
        const limitMs = request.deadlineMs ?? maxReadMs;
        const body = await readHeldBody({ request, maxBodyBytes, hold, limitMs, clock, signal });
        if (!hold.reserve(decodedBytesPerByte * body.length)) {
            throw new ResultError(resultCodes.bodiesFull, `${body.length} bytes to decode`);
        }
        const batchJob = { ...deps.decodeBatchJob(id as BatchJobId, request.host, request.path, body), team };
        const outcome = await deps.batchJobStore.accept(batchJob, clock.wallMs());
        requireDone(outcome, resultCodes.acceptanceUnknown);
        deps.batchJobReader.cache(batchJob);
        logger.info("lotAccepted", {
            lot: id,
            team,
            policy: batchJob.policy,
            step: batchJob.step,
            minVersion: batchJob.minVersion,
            items: batchJob.items.length,
            neededGroups: batchJob.neededGroups,
            bytes: body.length,
            configVersion: table.version,
            tookMs: Math.round(clock.monotonicMs() - startedAtMs),
        });
        return { kind: "lotAccepted" };
    }

    async function read(
        batchJobId: BatchJobId,
        caller: TeamId | undefined,
        after: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<ClientAnswer> {
        const startedAtMs = clock.monotonicMs();
        const page = await deps.batchJobReader.read(batchJobId, caller, after, waitMs, signal);
        if (page === undefined) {
            throw new ResultError(resultCodes.unknownLot, batchJobId);
        }
        if (page.results.length > 0) {
            const { total, next } = page;
            const tookMs = Math.round(clock.monotonicMs() - startedAtMs);
            logger.info("resultsRead", { lot: batchJobId, after, next, total, waitMs, tookMs });
        }
        return { kind: "lotPage", page };
    }

    async function readItem(
        batchJobId: BatchJobId,
        caller: TeamId | undefined,
        item: string,
    ): Promise<ClientAnswer> {
        const found = await deps.batchJobReader.readItem(batchJobId, caller, item);
        if (found === undefined) {
            throw new ResultError(resultCodes.unknownLot, `${batchJobId} item ${item}`);
        }
        return { kind: "lotItem", body: Buffer.from(found.bodyBase64, "base64") };
    }

    async function end(batchJobId: BatchJobId, caller: TeamId | undefined): Promise<ClientAnswer> {
        const outcome = await deps.batchJobStore.end(batchJobId, caller);
        if (outcome.kind === "absent") {
            throw new ResultError(resultCodes.unknownLot, batchJobId);
        }
        requireDone(outcome, resultCodes.endUnknown);
        logger.info("lotEnded", { lot: batchJobId });
        return { kind: "lotEnded" };
    }

    return { accept, read, readItem, end };
}
