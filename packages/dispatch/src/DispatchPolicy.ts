import type { SampleOrdering } from "@auburnarch/queue/SampleOrdering";
import type { SamplerPicker } from "@auburnarch/selection/SamplerPicker";
import type { HoldRule } from "./HoldRule.js";
import type { LengthModel } from "./LengthModel.js";
import type { MovableRule } from "./MovableRule.js";
import type { MoveRule } from "./MoveRule.js";
import type { PriorityRule } from "./PriorityRule.js";
import type { RoomRule } from "./RoomRule.js";
import type { StragglerLimitRule } from "./StragglerLimitRule.js";

/** The rules of a dispatcher. Each is a pure function, so that the policy bench can replace one at a time. */
export interface DispatchPolicy {
    name: string;
    /** Order of the waiting samples. */
    order: SampleOrdering;
    /** Chooses the sampler for a sample. */
    pick: SamplerPicker;
    /** Which samples wait although a sampler has room. */
    hold: HoldRule;
    /** How many more attempts are sent to a sampler; the others wait at the dispatcher. */
    room: RoomRule;
    /** Concurrency limit of a sampler that runs a straggler which the trainer waits for. */
    stragglerLimit: StragglerLimitRule;
    /** Which running attempts are considered for a move. */
    movable: MovableRule;
    /** Which of them continue on another sampler, and on which. */
    move: MoveRule;
    /** Engine priority of an attempt, 0 to 99. */
    priority: PriorityRule;
    createLengthModel: () => LengthModel;
}
