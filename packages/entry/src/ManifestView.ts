import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";

/** The manifest in force, undefined before the first one is known. */
export type ManifestView = () => VersionedManifest | undefined;
