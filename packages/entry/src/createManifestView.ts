import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";
import type { ManifestView } from "./ManifestView.js";

/** Reads the manifest out of the shared documents; those were checked before they were taken. */
export function createManifestView(get: (name: string) => SharedDocument | undefined): ManifestView {
    let taken: SharedDocument | undefined;
    let view: VersionedManifest | undefined;
    return () => {
        const document = get("manifest");
        if (document !== undefined && document !== taken) {
            taken = document;
            view = { version: document.version as ConfigVersion, manifest: document.value as Manifest };
        }
        return view;
    };
}
