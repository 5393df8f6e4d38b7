import type { FaultGuards } from "./FaultGuards.js";
import type { FaultKind } from "./FaultKind.js";
import type { FaultRun } from "./FaultRun.js";

/** What a series of randomised runs plays. */
export interface SeriesOptions {
    seed: number;
    runs: number;
    /** Seed of the one run to play instead of a series. */
    onlyRun?: number;
    /** Kinds of fault to draw from; all by default. */
    kinds?: readonly FaultKind[];
    /** How many different contents kill engines; one by default. */
    killers?: number;
    guards: FaultGuards;
    without: string | undefined;
    /** Ends the series at the first violation. */
    stopAtFirst: boolean;
    onRun?: (run: FaultRun, index: number) => void;
}
