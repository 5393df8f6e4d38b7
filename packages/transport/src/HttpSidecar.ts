import type { SidecarPort } from "@auburnarch/types/SidecarPort";

/** Client of a sidecar over HTTP. */
export interface HttpSidecar extends SidecarPort {
    /** Closes the connections; calls in flight end as broken. */
    close(): void;
}
