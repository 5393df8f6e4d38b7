import type { MadeSample } from "@auburnarch/types/MadeSample";
import type { OpenStep } from "./OpenStep.js";

/** Has samples made, verified and scored until they count. */
export interface SampleProducer {
    /** Sees to it that every missing sample of the groups is under way. */
    requestMissing(step: OpenStep, groups: readonly number[]): void;
    /** Ends what is under way for the groups. */
    withdraw(step: OpenStep, groups: readonly number[]): void;
    /** Takes samples of the group that are over the bound out and has them made again; true if there were any. */
    regenerateStale(step: OpenStep, group: number): boolean;
    /** Takes an answer of the dispatcher. */
    handleGenerated(generated: MadeSample): Promise<void>;
}
