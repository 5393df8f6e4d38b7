import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SamplerReport } from "@auburnarch/types/SamplerReport";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";

/** The sole way in to one sampler. */
export interface Sidecar extends SidecarPort {
    /** The report that `readReport` would give now, synchronously. */
    report(): SamplerReport;
    /** Takes a manifest if its version is higher; true if taken. */
    offerManifest(manifest: VersionedManifest): boolean;
    /** Takes the quarantine list (version is that of the shared document). */
    offerQuarantine(version: number, records: QuarantineRecord[]): boolean;
    /** From now on new work is refused with code `leaving`; running work goes on. */
    beginLeaving(): void;
    /** Leaves, then resolves when all in flight is finished or `deadlineMs` has passed and the rest is cancelled. */
    shutdown(deadlineMs: number): Promise<void>;
    /** Stops at once, as a killed process would; for tests. */
    kill(): void;
}
