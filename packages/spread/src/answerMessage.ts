import type { DocumentDigest } from "@auburnarch/types/DocumentDigest";
import type { DocumentSet } from "./DocumentSet.js";
import type { DocumentTransfer } from "./DocumentTransfer.js";
import type { SpreadMessage } from "./SpreadMessage.js";

function transfersFor(documents: DocumentSet, wanted: DocumentDigest): DocumentTransfer[] {
    return Object.entries(wanted)
        .map(([name, baseVersion]) => documents.transfer(name, baseVersion))
        .filter(transfer => transfer !== undefined);
}

function newerHere(documents: DocumentSet, theirs: DocumentDigest): DocumentDigest {
    const newer = Object.entries(documents.digest())
        .filter(([name, version]) => version > (theirs[name] ?? 0));
    return Object.fromEntries(newer.map(([name]) => [name, theirs[name] ?? 0]));
}

const isEmpty = (digest: DocumentDigest): boolean => Object.keys(digest).length === 0;

/**
 * Takes what a message brings and builds the message that follows. A digest is answered with what is newer here
 * and a request for what is newer there; a checksum that differs, with the digest.
 */
export function answerMessage(documents: DocumentSet, message: SpreadMessage): SpreadMessage {
    const wanted: DocumentDigest = {};
    for (const transfer of message.documents) {
        if (documents.takeTransfer(transfer) === "baseMissing") {
            // The base is not held here: version 0 asks for the document whole.
            wanted[transfer.name] = 0;
        }
    }
    const theirs = message.digest;
    if (theirs !== undefined) {
        Object.assign(wanted, documents.missing(theirs));
    }
    const owed = { ...(theirs === undefined ? {} : newerHere(documents, theirs)), ...message.wanted };
    const answer: SpreadMessage = {
        checksum: documents.checksum(),
        documents: transfersFor(documents, owed),
    };
    if (!isEmpty(wanted)) {
        answer.wanted = wanted;
    }
    const settled = theirs !== undefined || message.wanted !== undefined || message.documents.length > 0;
    if (!settled && message.checksum !== answer.checksum) {
        answer.digest = documents.digest();
    }
    return answer;
}
