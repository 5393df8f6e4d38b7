import type { TestProcess } from "@auburnarch/ownership/testing/TestProcess";
import type { Sidecar } from "@auburnarch/sidecar/Sidecar";

/** One process of a sidecar, from its start to its end. */
export interface SidecarProcess {
    sidecar: Sidecar;
    process: TestProcess;
    /** Fencing number of the job lease in the object API when the process started. */
    startedAtFencing: number;
    startedAtMs: number;
    /** Time at which its shutdown began; undefined before that. */
    shutdownAtMs: number | undefined;
    kill(): void;
    stopReporting(): void;
    whenDown(): Promise<void>;
}
