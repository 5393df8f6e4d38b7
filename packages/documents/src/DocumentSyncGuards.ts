/** Checks that the guarantees of this package depend on; the fault bench replaces them to show what they prevent. */
export interface DocumentSyncGuards {
    /**
     * True if a document of version `offered` may replace one of version `held` (0: none). Messages arrive in any
     * order and a replica of the object API may return old state. Applying an older version would reactivate an old
     * configuration, and `status` would show a decreasing version.
     */
    forwardOnly: (held: number, offered: number) => boolean;
}
