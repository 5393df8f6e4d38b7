import { readManifestDocument } from "@auburnarch/config/readManifestDocument";
import type { Sidecar } from "@auburnarch/sidecar/Sidecar";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";

/** Hands a shared document to a gate, which takes it only if it is newer. */
export function applyDocument(gate: Sidecar, document: SharedDocument): void {
    const { name, version, value } = document;
    const manifest = name === "manifest" ? readManifestDocument(document) : undefined;
    if (manifest !== undefined) {
        gate.offerManifest(manifest);
    }
    if (name === "quarantine") {
        gate.offerQuarantine(version, (value as { records: QuarantineRecord[]; }).records);
    }
}
