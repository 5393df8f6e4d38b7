import type { Sidecar } from "@auburnarch/gate/Sidecar";
import type { TestProcess } from "@auburnarch/own/testing/TestProcess";

/** One run of a sidecar. */
export interface SidecarProcess {
    gate: Sidecar;
    process: TestProcess;
    /** The job lease's number in the object API when this run began. */
    startedAtFencing: number;
    startedAtMs: number;
    /** When its shutdown began; undefined before. */
    shutdownAtMs: number | undefined;
    kill(): void;
    stopReporting(): void;
    whenDown(): Promise<void>;
}
