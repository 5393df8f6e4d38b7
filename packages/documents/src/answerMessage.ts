import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { DocumentSet } from "./DocumentSet.js";
import type { DocumentTransfer } from "./DocumentTransfer.js";
import type { SyncMessage } from "./SyncMessage.js";

function transfersFor(documents: DocumentSet, wanted: DocumentDigest): DocumentTransfer[] {
    return Object.entries(wanted)
        .map(([name, baseVersion]) => documents.transfer(name, baseVersion))
        .filter(transfer => transfer !== undefined);
}

function findNewerHere(documents: DocumentSet, theirs: DocumentDigest): DocumentDigest {
    const newer = Object.entries(documents.digest())
        .filter(([name, version]) => version > (theirs[name] ?? 0));
    return Object.fromEntries(newer.map(([name]) => [name, theirs[name] ?? 0]));
}

const isEmpty = (digest: DocumentDigest): boolean => Object.keys(digest).length === 0;

/**
 * Applies the documents of a message and builds the answer. A digest is answered with the documents that are newer
 * here and a request for those that are newer there; a different checksum is answered with the digest.
 */
export function answerMessage(documents: DocumentSet, message: SyncMessage): SyncMessage {
    const wanted: DocumentDigest = {};
    for (const transfer of message.documents) {
        if (documents.applyTransfer(transfer) === "baseMissing") {
            // The base is missing here; version 0 requests the full document.
            wanted[transfer.name] = 0;
        }
    }
    const theirs = message.digest;
    if (theirs !== undefined) {
        Object.assign(wanted, documents.findOutdated(theirs));
    }
    const toSend = { ...(theirs === undefined ? {} : findNewerHere(documents, theirs)), ...message.wanted };
    const answer: SyncMessage = {
        checksum: documents.checksum(),
        documents: transfersFor(documents, toSend),
    };
    if (!isEmpty(wanted)) {
        answer.wanted = wanted;
    }
    const isFollowUp = theirs !== undefined || message.wanted !== undefined || message.documents.length > 0;
    if (!isFollowUp && message.checksum !== answer.checksum) {
        answer.digest = documents.digest();
    }
    return answer;
}
