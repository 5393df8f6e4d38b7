import { readManifestDocument } from "@auburnarch/config/readManifestDocument";
import type { Sidecar } from "@auburnarch/sidecar/Sidecar";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";

/** Passes a shared document to a sidecar, which applies it only if it is newer than its own version. */
export function applyDocument(sidecar: Sidecar, document: SharedDocument): void {
    const { name, version, value } = document;
    const manifest = name === "manifest" ? readManifestDocument(document) : undefined;
    if (manifest !== undefined) {
        sidecar.offerManifest(manifest);
    }
    if (name === "quarantine") {
        sidecar.offerQuarantine(version, (value as { records: QuarantineRecord[]; }).records);
    }
}
