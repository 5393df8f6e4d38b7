import type { WorkOrder } from "@auburnarch/queue/WorkOrder";
import type { SamplerPicker } from "@auburnarch/selection/SamplerPicker";
import type { HoldRule } from "./HoldRule.js";
import type { LengthModel } from "./LengthModel.js";
import type { MovableRule } from "./MovableRule.js";
import type { MoveRule } from "./MoveRule.js";
import type { PriorityRule } from "./PriorityRule.js";
import type { RoomRule } from "./RoomRule.js";
import type { ThinRule } from "./ThinRule.js";

/** The rules of a dispatcher. Each is a pure function, so that the bench can replace one at a time. */
export interface DispatchPolicy {
    name: string;
    /** Which waiting sample goes first. */
    order: WorkOrder;
    /** Where it goes. */
    pick: SamplerPicker;
    /** What waits although there is a place. */
    hold: HoldRule;
    /** How much is sent ahead and how much waits here. */
    room: RoomRule;
    /** How far a sampler is filled that runs what the trainer waits for. */
    thin: ThinRule;
    /** Which running attempts are looked at for a move. */
    movable: MovableRule;
    /** Which of them go on elsewhere, and where. */
    move: MoveRule;
    /** Priority at the engine, 0 to 99. */
    priority: PriorityRule;
    createLengthModel: () => LengthModel;
}
