import type { TestProcess } from "@auburnarch/ownership/testing/TestProcess";
import type { Sidecar } from "@auburnarch/sidecar/Sidecar";

/** One run of a sidecar. */
export interface SidecarProcess {
    sidecar: Sidecar;
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
