/**
 * When a refused content may be tried once more. A trial that kills costs a sampler: its start and the load of its
 * weights, about a minute with the users' 31 s for a load. At a site of six samplers three such minutes in an hour are
 * less than 1 % of the samplers' time, and a fleet of thousands does not notice them.
 */
export const trialLimits = {
    /** After a death. Reports (1 s), the look at them (0.5 s) and the list (1 s) have told it everywhere by then. */
    afterDeathMs: 5_000,
    /** After two deaths at which it was alone, or after a trial in which its sampler died; doubled with each. */
    afterProofMs: 3_600_000,
    /**
     * After a trial that told nothing: its engine came back with other weights, or its caller left. A sidecar that died
     * with its VM is missed for so long at most.
     */
    afterUnknownMs: 60_000,
    /**
     * The first trial of a sample after two deaths at which it was alone. The users want a step whole within 6 minutes,
     * and a step cannot end without it; the caller of a request has an answer, which tells when to come back.
     */
    firstOfSampleMs: 60_000,
    /** Trials of all contents that did not end cleanly, in any such window. */
    maxInWindow: 3,
    /** Of these, trials of contents that were alone at deaths on two VMs or have killed in a trial. */
    maxOfLikelyKillers: 2,
    windowMs: 3_600_000,
} as const;
