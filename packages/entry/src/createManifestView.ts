import { readManifestDocument } from "@auburnarch/config/readManifestDocument";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";
import type { ManifestView } from "./ManifestView.js";

/** Reads the manifest, with its defaults, from the shared documents; they are validated before they are accepted. */
export function createManifestView(get: (name: string) => SharedDocument | undefined): ManifestView {
    let lastDocument: SharedDocument | undefined;
    let view: VersionedManifest | undefined;
    return () => {
        const document = get("manifest");
        if (document !== undefined && document !== lastDocument) {
            lastDocument = document;
            view = readManifestDocument(document);
        }
        return view;
    };
}
