import type { Sidecar } from "@auburnarch/sidecar/Sidecar";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { SidecarProcess } from "./SidecarProcess.js";

/** A VM with a backend server and its sidecar. */
export interface SamplerNode {
    name: string;
    kind: "model" | "plain";
    /** The sidecar as reached over the network; calls are recorded by the observer. */
    port(): SidecarPort;
    /** The current sidecar process; undefined while none runs. */
    sidecarProcess(): SidecarProcess | undefined;
    sidecar(): Sidecar | undefined;
    /** The current VM. */
    vm(): string;
    /** Calls `listener` immediately before the next order arrives. */
    beforeNextOrder(listener: () => void): void;
    killSidecar(): void;
    startSidecar(): void;
    /** Marks the VM as leaving on the platform; after `removedAfterMs` a new VM replaces it. */
    leave(removedAfterMs: number): void;
    /** Shuts the sidecar down gracefully and starts a new one. */
    shutDown(deadlineMs: number): Promise<void>;
}
