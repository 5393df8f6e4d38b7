import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { z } from "zod";
import { listFaults } from "./listFaults.js";
import { validateManifest } from "./validateManifest.js";

const text = z.string().min(1).max(256);
const version = z.int().min(0);
const wallMs = z.number();

const quarantine = z.object({
    records: z.array(z.object({
        digest: text,
        deaths: z.array(z.object({
            vm: text,
            bootId: z.string().max(256),
            atMs: wallMs,
            contents: version.optional(),
        })),
        expiresAtMs: wallMs,
        liftedAtMs: wallMs.optional(),
        trials: z.array(z.object({ trial: text, atMs: wallMs })).optional(),
    })),
});

const owner = z.object({ entry: text, address: text, fencing: version });

/**
 * Validates the value of a shared document according to the document's name. Documents with other names are accepted
 * unchecked, because a newer release may distribute documents that this one does not know.
 */
export function faultsOfDocument({ name, value }: SharedDocument): ConfigFault[] {
    if (name === "manifest") {
        const result = validateManifest(value);
        return result.kind === "valid" ? [] : result.faults;
    }
    if (name === "quarantine") {
        return listFaults(quarantine, value);
    }
    return name.startsWith("owner/") || name.startsWith("range/") ? listFaults(owner, value) : [];
}
