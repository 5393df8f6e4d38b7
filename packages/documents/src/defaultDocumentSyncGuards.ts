import type { DocumentSyncGuards } from "./DocumentSyncGuards.js";

/** The guards used everywhere except in fault benches. */
export const defaultDocumentSyncGuards: DocumentSyncGuards = {
    forwardOnly: (held, offered) => offered > held,
};
