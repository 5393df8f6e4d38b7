/**
 * How a link treats its connections: `well`; `slow` delays each piece; `reset` resets old and new ones; `deaf` carries
 * nothing back to the caller; `silent` carries nothing either way; `oldSilent` the same, for connections that are open
 * now.
 */
export type LinkMode = "well" | "slow" | "reset" | "deaf" | "silent" | "oldSilent";
