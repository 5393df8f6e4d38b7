import type { RunnerStatus } from "../peers/RunnerStatus.js";

/** Load of a simulated fleet with several trainers. */
export interface SimulatedLoad {
    prioritizesLateTrainers: boolean;
    seed: number;
    /** Time for one event of a run alone, by sampler. */
    eventMs: readonly number[];
    slotsPerSampler: number;
    /** Number of groups of each trainer's steps; the trainers' policies are `p0`, `p1` and so on. */
    groups: readonly number[];
    groupSize: number;
    runners: number;
    /** The trainer `p0` gets this step's results this much later, so that its next steps are late. */
    delayedStep: number;
    delayMs: number;
    /** Time after which the trainers submit no more steps. */
    endsAtMs: number;
    /** A runner that is lost, and when. */
    lost?: { runner: number; atMs: number; };
    /** Replaces what a runner answers to probes. */
    alterStatus?: (runner: number, status: RunnerStatus) => unknown;
}
