import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";

/** Returns the active manifest, or undefined until the first one is known. */
export type ManifestView = () => VersionedManifest | undefined;
