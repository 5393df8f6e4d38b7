import type { Clock } from "@auburnarch/types/Clock";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { Random } from "@auburnarch/types/Random";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { StepSpec } from "@auburnarch/types/StepSpec";
import type { TrainerPort } from "./TrainerPort.js";

/** How a fake trainer works and misbehaves. */
export interface FakeTrainerOptions {
    clock: Clock;
    random: Random;
    port: TrainerPort;
    policy: PolicyId;
    steps: number;
    groupSize: number;
    maxStalenessVersions: number;
    /** Prompts of a step; deterministic. */
    specOf: (step: StepNumber) => StepSpec;
    /** Steps open at once, the one being read included. */
    openSteps?: number;
    /** Time to train on one whole step. */
    trainMs?: number;
    /** Version published before the first step. */
    firstVersion?: number;
    readWaitMs?: number;
    /** Pause after a call that rejected. */
    retryMs?: number;
    /** Chance that the answer to a read is lost and the same cursor sent again. */
    loseAnswerChance?: number;
    /** Chance that a read is repeated and both answers compared, the second one taken. */
    rereadChance?: number;
    /** By default any text goes. */
    isExpectedText?: (prompt: string, text: string) => boolean;
    /** Called as each step is whole. */
    onStep?: (step: StepNumber) => void;
}
