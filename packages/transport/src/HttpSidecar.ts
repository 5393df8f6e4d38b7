import type { SidecarPort } from "@auburnarch/types/SidecarPort";

/** A sidecar over HTTP. */
export interface HttpSidecar extends SidecarPort {
    /** Closes the connections; calls in flight end as broken. */
    close(): void;
}
