import type { ExternalFakes } from "./ExternalFakes.js";
import type { RunningProcess } from "./RunningProcess.js";

/** The whole system in one process on loopback. */
export interface Standalone {
    externalFakes: ExternalFakes;
    entries: RunningProcess[];
    sidecars: RunningProcess[];
    /** Randomly generated for this run, as is `clusterToken`. */
    operatorToken: string;
    clusterToken: string;
    shutdown(): Promise<void>;
}
