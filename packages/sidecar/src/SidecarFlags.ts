/** What a gate has been told; each only ever becomes true. */
export interface SidecarFlags {
    /** What is in force, by an entry. */
    informed: boolean;
    leaving: boolean;
    shuttingDown: boolean;
    killed: boolean;
}
