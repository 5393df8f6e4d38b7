/** One fault in a manifest or in settings. `path` has the form `jobs[0].groupSize`; empty for the whole document. */
export interface ConfigFault {
    path: string;
    message: string;
}
