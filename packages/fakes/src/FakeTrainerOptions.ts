import type { Clock } from "@auburnarch/types/Clock";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Random } from "@auburnarch/types/Random";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { StepSpec } from "@auburnarch/types/StepSpec";
import type { TrainerPort } from "./TrainerPort.js";

/** Behaviour of a fake trainer, including the faults it injects. */
export interface FakeTrainerOptions {
    clock: Clock;
    random: Random;
    port: TrainerPort;
    policy: PolicyId;
    steps: number;
    groupSize: number;
    maxStalenessVersions: number;
    /** Prompts of a step; must be deterministic. */
    specOf: (step: StepNumber) => StepSpec;
    /** Number of steps open at the same time, including the one being read. */
    openSteps?: number;
    /** Time to train on one complete step. */
    trainMs?: number;
    /** Version published before the first step. */
    firstVersion?: number;
    readWaitMs?: number;
    /** Pause after a call that rejected. */
    retryMs?: number;
    /** Probability that the answer to a read is lost and the read is repeated with the same cursor. */
    loseAnswerChance?: number;
    /** Probability that a read is repeated, both answers are compared and the second one is used. */
    rereadChance?: number;
    /** Accepts every text by default. */
    isExpectedText?: (prompt: string, text: string) => boolean;
    /** Called when a step is complete. */
    onStep?: (step: StepNumber) => void;
}
