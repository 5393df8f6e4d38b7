import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Owner } from "@auburnarch/ownership/Owner";
import type { JobId } from "@auburnarch/types/JobId";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { OwnerDocument } from "@auburnarch/types/OwnerDocument";
import type { TeamId } from "@auburnarch/types/TeamId";
import { match } from "ts-pattern";
import type { JobOwnership } from "./JobOwnership.js";
import type { PeerCall } from "./PeerCall.js";
import type { TrainerCall } from "./TrainerCall.js";

const ownerTimeoutMs = 45_000;
const retryAfterMs = 1_000;

interface TrainerCallHandlerDeps {
    manifest: () => Manifest | undefined;
    jobs: JobOwnership;
    /** Returns the last announced owner of a job. */
    findOwner: (job: JobId) => OwnerDocument | undefined;
    selfAddress: string;
    callPeer: PeerCall;
}

/**
 * Acceptances carry the owner's fencing number, as pages do. An older owner that is disconnected only from the object
 * API still delivers pages and does not know weights published through a newer owner; a trainer that has seen the newer
 * fencing number discards these pages.
 */
function callOwner(owner: Owner, call: TrainerCall): Promise<unknown> {
    const accepted = (): unknown => ({ fencing: owner.status().fencing });
    return match(call)
        .returnType<Promise<unknown>>()
        .with({ kind: "openStep" }, ({ spec }) => owner.openStep(spec).then(accepted))
        .with({ kind: "publishWeights" }, ({ weights }) => owner.publishWeights(weights).then(accepted))
        .with({ kind: "readGroups" }, ({ step, cursor, waitMs }) => owner.readGroups(step, cursor, waitMs))
        .with({ kind: "status" }, async () => owner.status())
        .exhaustive();
}

/** Creates the handler of trainers' calls: it checks that the job belongs to the team and calls the job's owner. */
export function createTrainerCallHandler(
    deps: TrainerCallHandlerDeps,
): (team: TeamId, call: TrainerCall, forwarded: boolean) => Promise<unknown> {
    function requireJobOfTeam(team: TeamId, job: JobId): void {
        const found = deps.manifest()?.jobs.find(each => each.job === job);
        if (found === undefined) {
            throw new ResultError(resultCodes.unknownJob, job);
        }
        if (found.team !== team) {
            throw new ResultError(resultCodes.forbidden, job);
        }
    }

    return async (team, call, forwarded) => {
        requireJobOfTeam(team, call.job);
        const owned = deps.jobs.get(call.job);
        if (owned !== undefined) {
            return callOwner(owned.owner, call);
        }
        const document = deps.findOwner(call.job);
        if (forwarded || document === undefined || document.address === deps.selfAddress) {
            // A second forwarding could loop between two entries that each consider the other the owner.
            throw new ResultError(resultCodes.notOwner, call.job, retryAfterMs);
        }
        return deps.callPeer(document.address, "train", { team, call }, ownerTimeoutMs);
    };
}
