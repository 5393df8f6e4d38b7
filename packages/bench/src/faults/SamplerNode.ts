import type { Sidecar } from "@auburnarch/sidecar/Sidecar";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { SidecarProcess } from "./SidecarProcess.js";

/** A VM with a backend server and the sidecar before it. */
export interface SamplerNode {
    name: string;
    kind: "model" | "plain";
    /** The sidecar as the network reaches it; calls are noted for the judge. */
    port(): SidecarPort;
    /** The present sidecar process; undefined while there is none. */
    sidecarProcess(): SidecarProcess | undefined;
    sidecar(): Sidecar | undefined;
    /** The VM of the moment. */
    vm(): string;
    /** Calls `listener` right before the next order arrives. */
    beforeNextOrder(listener: () => void): void;
    killSidecar(): void;
    startSidecar(): void;
    /** The platform marks the VM as leaving; after `goneInMs` it is gone and a fresh one takes its place. */
    leave(removedAfterMs: number): void;
    /** Graceful shutdown of the sidecar, then a fresh start. */
    shutDown(deadlineMs: number): Promise<void>;
}
