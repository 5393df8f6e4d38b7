import type { DocumentSyncGuards } from "./DocumentSyncGuards.js";

/** Guards used in production; only the fault bench and tests replace them. */
export const defaultDocumentSyncGuards: DocumentSyncGuards = {
    forwardOnly: (held, offered) => offered > held,
};
