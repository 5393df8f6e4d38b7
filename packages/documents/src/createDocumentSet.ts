import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { applyTextDelta } from "./applyTextDelta.js";
import { createTextDelta } from "./createTextDelta.js";
import type { DocumentSet } from "./DocumentSet.js";
import type { DocumentSyncDeps } from "./DocumentSyncDeps.js";
import type { DocumentSyncGuards } from "./DocumentSyncGuards.js";
import type { DocumentTransfer } from "./DocumentTransfer.js";
import { hashText } from "./hashText.js";

/** Shorter documents are sent in full: a delta would hardly be smaller. */
const minDeltaChars = 1_024;
/** Recent texts kept of a long document, as bases of deltas. */
const maxBaseTexts = 6;
const maxLoggedFaults = 20;
const checksumChars = 16;

interface StoredDocument {
    document: SharedDocument;
    /** Texts of recent versions, the latest last; only for long documents. */
    baseTexts: { version: number; text: string; }[];
}

/** Creates the document set of a process; `onApplied` is called with each applied document. */
export function createDocumentSet(
    deps: Pick<DocumentSyncDeps, "invariants" | "logger" | "faultsOf">,
    guards: DocumentSyncGuards,
    onApplied: (document: SharedDocument) => void,
): DocumentSet {
    const storedDocuments = new Map<string, StoredDocument>();
    const refusedVersions = new Map<string, number>();
    let checksum: string | undefined;

    const versionOf = (name: string): number => storedDocuments.get(name)?.document.version ?? 0;

    function findText(name: string, version: number): string | undefined {
        return storedDocuments.get(name)?.baseTexts.find(baseText => baseText.version === version)?.text;
    }

    function appendText(name: string, version: number, text: string): StoredDocument["baseTexts"] {
        if (text.length < minDeltaChars) {
            return [];
        }
        return [...(storedDocuments.get(name)?.baseTexts ?? []), { version, text }].slice(-maxBaseTexts);
    }

    function refuse(document: SharedDocument, faults: { path: string; message: string; }[]): void {
        // Recorded, so that the document is not fetched again in each exchange.
        refusedVersions.set(document.name, document.version);
        for (const fault of faults.slice(0, maxLoggedFaults)) {
            deps.logger.error("documentRefused", {
                document: document.name,
                version: document.version,
                path: fault.path,
                fault: fault.message,
                faults: faults.length,
                inForce: versionOf(document.name),
            });
        }
    }

    function apply(document: SharedDocument): ReturnType<DocumentSet["apply"]> {
        const { name, version, value } = document;
        const before = versionOf(name);
        if (!guards.forwardOnly(before, version)) {
            return "notNewer";
        }
        if (version === refusedVersions.get(name)) {
            return "refused";
        }
        const faults = deps.faultsOf(document);
        if (faults.length > 0) {
            refuse(document, faults);
            return "refused";
        }
        deps.invariants.check(resultCodes.configReverted, version > before, {
            document: name,
            version,
            before,
        });
        storedDocuments.set(name, {
            document,
            baseTexts: appendText(name, version, JSON.stringify(value) ?? ""),
        });
        checksum = undefined;
        deps.logger.info("documentTaken", { document: name, version, before });
        onApplied(document);
        return "taken";
    }

    function applyTransfer(transfer: DocumentTransfer): ReturnType<DocumentSet["apply"]> {
        const { name, version } = transfer;
        if (transfer.kind === "whole") {
            return apply({ name, version, value: transfer.value });
        }
        if (!guards.forwardOnly(versionOf(name), version)) {
            return "notNewer";
        }
        const base = findText(name, transfer.baseVersion);
        const text = base === undefined ? undefined : applyTextDelta(base, transfer.delta);
        return text === undefined
            ? "baseMissing"
            : apply({ name, version, value: JSON.parse(text) as unknown });
    }

    function transfer(name: string, baseVersion: number): DocumentTransfer | undefined {
        const document = storedDocuments.get(name)?.document;
        if (document === undefined) {
            return undefined;
        }
        const { version, value } = document;
        const base = findText(name, baseVersion);
        const text = findText(name, version);
        if (base === undefined || text === undefined || baseVersion >= version) {
            return { kind: "whole", name, version, value };
        }
        return { kind: "delta", name, version, baseVersion, delta: createTextDelta(base, text) };
    }

    function digest(): DocumentDigest {
        return Object.fromEntries(
            [...storedDocuments].map(([name, { document }]) => [name, document.version]),
        );
    }

    function computeChecksum(): string {
        const lines = [...storedDocuments].map(([name, { document }]) => `${name}=${document.version}`)
            .sort();
        return hashText(lines.join("\n")).slice(0, checksumChars);
    }

    return {
        get: name => storedDocuments.get(name)?.document,
        digest,
        checksum: () => checksum ??= computeChecksum(),
        apply,
        applyTransfer,
        transfer,
        findOutdated: theirs => {
            const newer = Object.entries(theirs).filter(([name, version]) =>
                version > Math.max(versionOf(name), refusedVersions.get(name) ?? 0)
            );
            return Object.fromEntries(newer.map(([name]) => [name, versionOf(name)]));
        },
    };
}
