import type { FaultGuards } from "./FaultGuards.js";
import type { FaultKind } from "./FaultKind.js";
import type { FaultRun } from "./FaultRun.js";

/** Options of a series of randomised runs. */
export interface SeriesOptions {
    seed: number;
    runs: number;
    /** Seed of the single run to execute instead of a series. */
    onlyRun?: number;
    /** Kinds of fault to inject; all by default. */
    kinds?: readonly FaultKind[];
    /** Number of distinct crash-inducing requests; one by default. */
    killers?: number;
    guards: FaultGuards;
    without: string | undefined;
    /** Ends the series at the first violation. */
    stopAtFirst: boolean;
    onRun?: (run: FaultRun, index: number) => void;
}
