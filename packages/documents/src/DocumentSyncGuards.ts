/** Checks that the promises of this package rest on; replaceable so that a bench can show what they prevent. */
export interface DocumentSyncGuards {
    /**
     * True if a document of version `offered` may replace one of version `held` (0: none). Messages arrive in any
     * order and a replica of the object API may answer with old state; taking those would bring an old
     * configuration back into force, seen as `status` showing a version that falls.
     */
    forwardOnly: (held: number, offered: number) => boolean;
}
