import type { RunningProcess } from "./RunningProcess.js";
import type { StandIns } from "./StandIns.js";

/** The whole system in one process on loopback. */
export interface Standalone {
    standIns: StandIns;
    entries: RunningProcess[];
    sidecars: RunningProcess[];
    /** Tokens drawn for this run. */
    operatorToken: string;
    clusterToken: string;
    shutdown(): Promise<void>;
}
