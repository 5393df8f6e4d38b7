/** One step of a simulated trainer. */
export interface TrainerRecord {
    policy: string;
    step: number;
    /** How far its submission was behind the trainer's schedule. */
    lateMs: number;
    /** Time from its submission until the trainer had the groups that it waits for; undefined if it gave up. */
    tookMs: number | undefined;
}
