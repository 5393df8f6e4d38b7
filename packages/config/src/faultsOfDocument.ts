import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { validateManifest } from "./validateManifest.js";

/** Faults of a shared document: a manifest is checked whole before it is taken, other documents have no schema. */
export function faultsOfDocument(document: SharedDocument): ConfigFault[] {
    if (document.name !== "manifest") {
        return [];
    }
    const checked = validateManifest(document.value);
    return checked.kind === "invalid" ? checked.faults : [];
}
