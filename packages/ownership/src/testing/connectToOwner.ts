import type { Owner } from "../Owner.js";
import type { TrainerConnection } from "./TrainerConnection.js";

/** Connects a trainer to an owner in the same process. */
export function connectToOwner(owner: Owner): TrainerConnection {
    const receipt = (): { fencing: number; } => ({ fencing: owner.status().fencing });
    return {
        openStep: spec => owner.openStep(spec).then(receipt),
        publishWeights: weights => owner.publishWeights(weights).then(receipt),
        readGroups: owner.readGroups,
    };
}
