import type { Gate } from "@auburnarch/gate/Gate";
import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";

/** Hands a shared document to a gate, which takes it only if it is newer. */
export function takeDocument(gate: Gate, { name, version, value }: SharedDocument): void {
    if (name === "manifest") {
        gate.offerManifest({ version: version as ConfigVersion, manifest: value as Manifest });
    }
    if (name === "quarantine") {
        gate.offerQuarantine(version, (value as { records: QuarantineRecord[]; }).records);
    }
}
