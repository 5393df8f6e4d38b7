/** When a refused content may be tried once more. A trial that kills costs a sampler its start and a load of weights. */
export const trialLimits = {
    /** After a death; the list has told it everywhere by then. */
    afterCrashMs: 5_000,
    /** After two deaths at which it was alone, or after a trial in which its sampler died; doubled with each. */
    afterConfirmedCrashMs: 3_600_000,
    /**
     * After a trial that told nothing: its engine came back with other weights, or its caller left. A sidecar that died
     * with its VM is missed for so long at most.
     */
    afterUnknownMs: 60_000,
    /** The first trial of a sample after two deaths at which it was alone: its step cannot end without it. */
    firstSampleTrialMs: 60_000,
    /** Trials of all contents that did not end cleanly, in any such window. */
    maxInWindow: 3,
    /** Of these, trials of contents that were alone at deaths on two VMs or have killed in a trial. */
    maxOfLikelyCrashInducing: 2,
    windowMs: 3_600_000,
} as const;
