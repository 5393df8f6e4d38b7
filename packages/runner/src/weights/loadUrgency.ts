/** How urgent a load is, the highest first. */
export const loadUrgency = {
    /** The sampler is of no use to the policy until it is loaded. */
    unusable: 3,
    /** Nobody is held up by it: no job of the policy is open. */
    quiet: 2,
    /** A job is open, and the version was named long ago: a part of the samplers at a time. */
    overdue: 1,
    notNow: 0,
};
