/** A child process of the path bench. */
export interface RoleProcess {
    name: string;
    address: string;
    /** Processor time and memory up to now. */
    readUse(): Promise<{ cpuMs: number; atMs: number; residentBytes: number; }>;
    stop(): Promise<void>;
}
