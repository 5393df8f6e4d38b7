import type { createTestTrainer } from "@auburnarch/ownership/testing/createTestTrainer";

/** The trainer of a run with its simulated connection to the entries. */
export interface SimulatedTrainer {
    trainer: ReturnType<typeof createTestTrainer>;
    /** Drops the next `count` answers to the trainer. */
    loseAnswers(count: number, onLost: () => void): void;
    /** Makes the trainer publish `count` more versions at once after its next page. */
    publishMore(count: number, onBurst: () => void): void;
    /** Calls `listener` immediately before the next version is published. */
    beforeNextPublish(listener: () => void): void;
    /** Sends the next read with a forged cursor as well, which must be rejected. */
    forgeNextCursor(onForged: () => void): void;
}
