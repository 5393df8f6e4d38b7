import type { TrainerLateness } from "./TrainerLateness.js";

/** A smaller share of the interval is variation of the acceptance and of the trainer's own work. */
const minLateShare = 0.1;

/** True if a trainer is so far behind schedule that its steps get priority. */
export const isLate = (trainer: TrainerLateness | undefined): boolean =>
    trainer !== undefined && trainer.latenessMs > trainer.intervalMs * minLateShare;
