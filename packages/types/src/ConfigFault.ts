/** One fault of a manifest or of settings. `path` reads like `jobs[0].groupSize`; empty for the whole. */
export interface ConfigFault {
    path: string;
    message: string;
}
