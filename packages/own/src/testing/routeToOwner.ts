import type { Owner } from "../Owner.js";
import type { TrainerRoute } from "./TrainerRoute.js";

/** The route of a trainer that calls an owner in the same process. */
export function routeToOwner(owner: Owner): TrainerRoute {
    const receipt = (): { fencing: number; } => ({ fencing: owner.status().fencing });
    return {
        openStep: spec => owner.openStep(spec).then(receipt),
        publishWeights: weights => owner.publishWeights(weights).then(receipt),
        readGroups: owner.readGroups,
    };
}
