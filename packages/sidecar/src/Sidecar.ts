import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";

/** The sidecar of one sampler: the only access path to it. */
export interface Sidecar extends SidecarPort {
    /** The report that `readReport` would return now, synchronously. */
    report(): SamplerReport;
    /** Accepts a manifest if its version is higher; true if accepted. */
    offerManifest(manifest: VersionedManifest): boolean;
    /** Accepts a quarantine list if its version, that of the shared document, is higher; true if accepted. */
    offerQuarantine(version: number, records: QuarantineRecord[]): boolean;
    /** From now on refuses new work with code `leaving`; running work continues. */
    beginLeaving(): void;
    /** Begins leaving; resolves once all work in flight has finished, or has been cancelled after `deadlineMs`. */
    shutdown(deadlineMs: number): Promise<void>;
    /** Stops immediately, like a killed process; for tests. */
    kill(): void;
}
