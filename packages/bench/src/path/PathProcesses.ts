import type { RoleProcess } from "./RoleProcess.js";

/** The processes of one run of the path benchmark. */
export interface PathProcesses {
    plainService: RoleProcess;
    engines: RoleProcess[];
    plainSidecar: RoleProcess;
    modelSidecars: RoleProcess[];
    entry: RoleProcess;
    /** Bearer token of the callers' team. */
    token: string;
    stop(): Promise<void>;
}
