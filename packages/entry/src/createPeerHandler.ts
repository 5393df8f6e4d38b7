import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import type { JobId } from "@auburnarch/types/JobId";
import type { OperatorMember } from "@auburnarch/types/OperatorMember";
import type { TeamId } from "@auburnarch/types/TeamId";
import { z } from "zod";
import { createGroupStoreMethods } from "./createGroupStoreMethods.js";
import type { Fleet } from "./Fleet.js";
import type { JobOwnership } from "./JobOwnership.js";
import { stepSchema } from "./stepSchema.js";
import type { TrainerCall } from "./TrainerCall.js";
import { weightsSchema } from "./weightsSchema.js";

const job = z.string().min(1).max(512);
const step = z.int().nonnegative();
const trainParams = z.object({
    team: z.string().min(1),
    call: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("openStep"), job, spec: stepSchema }),
        z.object({ kind: z.literal("publishWeights"), job, weights: weightsSchema }),
        z.object({
            kind: z.literal("readGroups"),
            job,
            step,
            cursor: z.string().optional(),
            waitMs: z.number().nonnegative(),
        }),
        z.object({ kind: z.literal("status"), job }),
    ]),
});
const jobParams = z.object({ job });

interface PeerHandlerDeps {
    fleet: Fleet;
    jobs: JobOwnership;
    handleTrainerCall: (team: TeamId, call: TrainerCall, forwarded: boolean) => Promise<unknown>;
    describeHere: () => OperatorMember[];
    groupStore: GroupStore | undefined;
}

function parse<T>(schema: z.ZodType<T>, params: unknown): T {
    const parsed = schema.safeParse(params);
    if (!parsed.success) {
        throw new ResultError(resultCodes.badRequest, parsed.error.issues[0]?.message ?? "");
    }
    return parsed.data;
}

/**
 * Creates the handler of calls from other processes: `gossip`, `spread`, `report`, `train`, `jobStatus`, `describe` and
 * the methods of the data folder.
 */
export function createPeerHandler(
    deps: PeerHandlerDeps,
): (method: string, params: unknown) => Promise<unknown> {
    const { fleet, jobs } = deps;

    async function train(params: unknown): Promise<unknown> {
        const { team, call } = parse(trainParams, params);
        return deps.handleTrainerCall(team as TeamId, call as unknown as TrainerCall, true);
    }

    function jobStatus(params: unknown): unknown {
        const owned = jobs.get(parse(jobParams, params).job as JobId);
        if (owned === undefined) {
            throw new ResultError(resultCodes.notOwner);
        }
        return owned.owner.status();
    }

    // A map, because a plain object would also have methods such as `constructor`.
    const methods = new Map<string, (params: unknown) => unknown>(Object.entries({
        gossip: fleet.membership.receiveGossip,
        spread: fleet.documentSync.receive,
        report: fleet.membership.receiveReport,
        train,
        jobStatus,
        describe: deps.describeHere,
        ...createGroupStoreMethods(deps.groupStore),
    }));

    return async (method, params) => {
        const run = methods.get(method);
        if (run === undefined) {
            throw new ResultError(resultCodes.notFound, `method ${method}`);
        }
        return run(params);
    };
}
