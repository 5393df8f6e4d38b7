interface SlotClaims {
    /** Slots of the sampler. */
    limit: number;
    /** Number of policies, and of teams, with an open step at the service. */
    policies: number;
    teams: number;
    /** Number of these policies that belong to the team. */
    policiesOfTeam: number;
}

/** Share of the mean number of slots that no policy and no team falls below by yielding. */
const guaranteedShare = 1 / 4;

/** Number of a sampler's slots that a policy keeps when it yields: a quarter of the mean over policies, and of teams. */
export const guaranteedSlots = ({ limit, policies, teams, policiesOfTeam }: SlotClaims): number =>
    Math.ceil(
        guaranteedShare * limit
            * Math.max(1 / Math.max(1, policies), 1 / Math.max(1, teams) / Math.max(1, policiesOfTeam)),
    );
