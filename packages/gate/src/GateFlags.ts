/** What a gate has been told about its own end; each only ever becomes true. */
export interface GateFlags {
    leaving: boolean;
    shuttingDown: boolean;
    killed: boolean;
}
