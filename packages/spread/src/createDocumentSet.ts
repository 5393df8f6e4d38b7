import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import { applyTextDelta } from "./applyTextDelta.js";
import { createTextDelta } from "./createTextDelta.js";
import type { DocumentSet } from "./DocumentSet.js";
import type { DocumentTransfer } from "./DocumentTransfer.js";
import { hashText } from "./hashText.js";
import type { SpreadDeps } from "./SpreadDeps.js";
import type { SpreadGuards } from "./SpreadGuards.js";

/** Below this length a document is sent whole: a change would hardly be shorter. */
const minDeltaChars = 1_024;
/** Earlier texts kept of a long document, as bases of changes. */
const keptTexts = 6;
const shownFaults = 20;
const checksumChars = 16;

interface Held {
    document: SharedDocument;
    /** Texts by version, the newest last; only for long documents. */
    texts: { version: number; text: string; }[];
}

/** Makes the set of documents of a process; `onTaken` hears of each document taken. */
export function createDocumentSet(
    deps: Pick<SpreadDeps, "invariants" | "logger" | "faultsOf">,
    guards: SpreadGuards,
    onTaken: (document: SharedDocument) => void,
): DocumentSet {
    const held = new Map<string, Held>();
    const refusedVersions = new Map<string, number>();
    let checksum: string | undefined;

    const versionOf = (name: string): number => held.get(name)?.document.version ?? 0;

    function findText(name: string, version: number): string | undefined {
        return held.get(name)?.texts.find(kept => kept.version === version)?.text;
    }

    function keepTexts(name: string, version: number, text: string): Held["texts"] {
        if (text.length < minDeltaChars) {
            return [];
        }
        return [...(held.get(name)?.texts ?? []), { version, text }].slice(-keptTexts);
    }

    function refuse(document: SharedDocument, faults: { path: string; message: string; }[]): void {
        // Without this note the document would be fetched again at each exchange.
        refusedVersions.set(document.name, document.version);
        for (const fault of faults.slice(0, shownFaults)) {
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

    function take(document: SharedDocument): ReturnType<DocumentSet["take"]> {
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
        held.set(name, { document, texts: keepTexts(name, version, JSON.stringify(value) ?? "") });
        checksum = undefined;
        deps.logger.info("documentTaken", { document: name, version, before });
        onTaken(document);
        return "taken";
    }

    function takeTransfer(transfer: DocumentTransfer): ReturnType<DocumentSet["take"]> {
        const { name, version } = transfer;
        if (transfer.kind === "whole") {
            return take({ name, version, value: transfer.value });
        }
        if (!guards.forwardOnly(versionOf(name), version)) {
            return "notNewer";
        }
        const base = findText(name, transfer.baseVersion);
        const text = base === undefined ? undefined : applyTextDelta(base, transfer.delta);
        return text === undefined
            ? "baseMissing"
            : take({ name, version, value: JSON.parse(text) as unknown });
    }

    function transfer(name: string, baseVersion: number): DocumentTransfer | undefined {
        const document = held.get(name)?.document;
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
        return Object.fromEntries([...held].map(([name, { document }]) => [name, document.version]));
    }

    function computeChecksum(): string {
        const lines = [...held].map(([name, { document }]) => `${name}=${document.version}`).sort();
        return hashText(lines.join("\n")).slice(0, checksumChars);
    }

    return {
        get: name => held.get(name)?.document,
        digest,
        checksum: () => checksum ??= computeChecksum(),
        take,
        takeTransfer,
        transfer,
        missing: theirs => {
            const newer = Object.entries(theirs).filter(([name, version]) =>
                version > Math.max(versionOf(name), refusedVersions.get(name) ?? 0)
            );
            return Object.fromEntries(newer.map(([name]) => [name, versionOf(name)]));
        },
    };
}
