/** Schedule of a trainer, learned from the submission times of its batch jobs. */
export interface TrainerLateness {
    /** Time between two steps of the trainer while nothing delays it. */
    intervalMs: number;
    /** How far the newest batch job is behind that schedule; 0 if it is on time. */
    latenessMs: number;
}
