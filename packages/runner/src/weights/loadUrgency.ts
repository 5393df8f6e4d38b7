/** Urgency of a load; higher values come first. */
export const loadUrgency = {
    /** The policy cannot use the sampler until it is loaded. */
    unusable: 3,
    /** The load delays no step: no batch job of the policy is open. */
    idle: 2,
    /** A batch job is open, but the version was named long ago: loaded on some of the samplers at a time. */
    overdue: 1,
    notNow: 0,
};
