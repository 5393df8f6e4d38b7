interface ComparedLoad {
    urgency: number;
    /** Number of samplers that can serve the policy's next step. */
    usable: number;
    /** How far the policy's trainer is behind schedule; 0 unless its steps get priority. */
    latenessMs: number;
}

/** 1 for a policy without any usable sampler, whose next step could not start at all. */
const isWithoutSampler = ({ usable }: ComparedLoad): number => usable === 0 ? 1 : 0;

/**
 * Orders the next loads of policies: the most urgent first, then the policy of the later trainer, then the policy with
 * the fewest usable samplers. A policy without any usable sampler precedes late ones, which would otherwise get all of
 * their samplers first. Load addressed: trainers behind schedule whose next step waits for weights.
 */
export const compareLoads = (a: ComparedLoad, b: ComparedLoad): number =>
    b.urgency - a.urgency
    || (a.latenessMs === b.latenessMs ? 0 : isWithoutSampler(b) - isWithoutSampler(a))
    || b.latenessMs - a.latenessMs
    || a.usable - b.usable;
