/** A child process of the path benchmark. */
export interface RoleProcess {
    name: string;
    address: string;
    /** Reads the processor time used so far and the current memory. */
    readUse(): Promise<{ cpuMs: number; atMs: number; residentBytes: number; }>;
    stop(): Promise<void>;
}
