import type { DocumentSyncGuards } from "./DocumentSyncGuards.js";

/** The guards in force outside of fault benches. */
export const defaultDocumentSyncGuards: DocumentSyncGuards = {
    forwardOnly: (held, offered) => offered > held,
};
