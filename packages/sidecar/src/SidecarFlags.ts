/** Flags of a sidecar; each only changes from false to true. */
export interface SidecarFlags {
    /** An entry has sent the active configuration. */
    informed: boolean;
    leaving: boolean;
    shuttingDown: boolean;
    killed: boolean;
}
