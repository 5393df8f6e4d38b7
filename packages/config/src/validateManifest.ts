import type { Manifest } from "@auburnarch/types/Manifest";
import { checkReferences } from "./checkReferences.js";
import { deriveLimits } from "./deriveLimits.js";
import { listFaults } from "./listFaults.js";
import type { ManifestResult } from "./ManifestResult.js";
import { manifestSchema } from "./manifestSchema.js";

/** The object API stores values of up to a megabyte; the remainder is reserved for its envelope. */
const maxManifestBytes = 1_000_000;

/** Validates a manifest, reports all of its faults and fills in its defaults. */
export function validateManifest(json: unknown): ManifestResult {
    const faults = [...listFaults(manifestSchema, json), ...checkReferences(json)];
    if (faults.length > 0) {
        return { kind: "invalid", faults };
    }
    const bytes = Buffer.byteLength(JSON.stringify(json));
    if (bytes > maxManifestBytes) {
        const message = `The manifest has ${bytes} bytes; the object API holds ${maxManifestBytes}.`;
        return { kind: "invalid", faults: [{ path: "", message }] };
    }
    const parsed = manifestSchema.parse(json);
    const limits = deriveLimits(parsed.limits, parsed.samplers.length);
    return { kind: "valid", manifest: { ...parsed, limits } as Manifest };
}
