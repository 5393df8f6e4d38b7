import type { createTestTrainer } from "@auburnarch/ownership/testing/createTestTrainer";

/** The trainer of a run with its way to the entries. */
export interface SimulatedTrainer {
    trainer: ReturnType<typeof createTestTrainer>;
    /** The next `count` answers to the trainer are lost. */
    loseAnswers(count: number, onLost: () => void): void;
    /** After its next page the trainer publishes so many versions at once. */
    publishMore(count: number, onBurst: () => void): void;
    /** Calls `listener` right before the next version is published. */
    beforeNextPublish(listener: () => void): void;
    /** The next read goes out with a cursor that was tampered with, and must be refused. */
    forgeNextCursor(onForged: () => void): void;
}
