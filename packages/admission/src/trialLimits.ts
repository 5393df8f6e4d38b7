/** When a refused content may have another trial. A crash in a trial costs a sampler's restart and weight load. */
export const trialLimits = {
    /** After a crash; by then the shared list has reached every entry. */
    afterCrashMs: 5_000,
    /** After two crashes at which it was alone, or after a crash in a trial; doubled with each further one. */
    afterConfirmedCrashMs: 3_600_000,
    /**
     * After a trial with unknown outcome: its engine restarted with other weights, or its caller left. The loss of a
     * sidecar together with its VM is noticed within this time.
     */
    afterUnknownMs: 60_000,
    /** First trial of a sample after two crashes at which it was alone: its step cannot end without it. */
    firstSampleTrialMs: 60_000,
    /** Maximum of trials of all contents that did not end cleanly, in any window of `windowMs`. */
    maxInWindow: 3,
    /** Maximum of these for contents that were alone at crashes on two VMs or crashed a sampler in a trial. */
    maxOfLikelyCrashInducing: 2,
    windowMs: 3_600_000,
} as const;
