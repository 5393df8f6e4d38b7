/**
 * A versioned value that is distributed to every process: the manifest, the quarantine list, who owns which job.
 * A process accepts a document only if its version is higher than the one it has.
 */
export interface SharedDocument {
    /** `manifest`, `quarantine`, `owner/<job>`, `weights/<policy>`, `range/<n>`. */
    name: string;
    version: number;
    value: unknown;
}
