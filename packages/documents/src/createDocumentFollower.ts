import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { z } from "zod";
import { createDocumentSet } from "./createDocumentSet.js";
import { defaultDocumentSyncGuards } from "./defaultDocumentSyncGuards.js";
import type { DocumentFollower } from "./DocumentFollower.js";
import type { DocumentSyncDeps } from "./DocumentSyncDeps.js";
import type { DocumentTransfer } from "./DocumentTransfer.js";
import { documentTransferSchema } from "./documentTransferSchema.js";

const followedNames = ["manifest", "quarantine"];
const transfersSchema = z.array(documentTransferSchema).max(followedNames.length);

/** Creates a sidecar's document follower; `onApplied` is called with each applied document. */
export function createDocumentFollower(
    deps: Pick<DocumentSyncDeps, "invariants" | "logger" | "faultsOf" | "guards">,
    onApplied: (document: SharedDocument) => void,
): DocumentFollower {
    const documents = createDocumentSet(deps, deps.guards ?? defaultDocumentSyncGuards, onApplied);
    /** Documents whose delta had no matching base here; they are requested in full. */
    const wholeRequested = new Set<string>();
    /** Versions with faults; not requested again, otherwise each answer would contain them. */
    const refusedVersions = new Map<string, number>();

    function digest(): DocumentDigest {
        const versions = followedNames.map(name => {
            const held = Math.max(documents.get(name)?.version ?? 0, refusedVersions.get(name) ?? 0);
            return [name, wholeRequested.has(name) ? 0 : held] as const;
        });
        return Object.fromEntries(versions);
    }

    function applyTransfer(transfer: DocumentTransfer): void {
        const result = documents.applyTransfer(transfer);
        if (result === "baseMissing") {
            wholeRequested.add(transfer.name);
            return;
        }
        wholeRequested.delete(transfer.name);
        if (result === "refused") {
            refusedVersions.set(transfer.name, transfer.version);
        }
    }

    return {
        digest,
        receive: transfers => {
            const parsed = transfersSchema.safeParse(transfers);
            if (!parsed.success) {
                deps.logger.warn("documentsMalformed", { fault: parsed.error.issues[0]?.message });
                return;
            }
            for (const transfer of parsed.data as DocumentTransfer[]) {
                applyTransfer(transfer);
            }
        },
        wholeDocuments: names =>
            names.filter(name => followedNames.includes(name))
                .flatMap(name => documents.transfer(name, 0) ?? []),
        get: documents.get,
    };
}
