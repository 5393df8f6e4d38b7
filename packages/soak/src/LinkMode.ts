/**
 * How a link treats its connections. `well`: forwards everything. `slow`: delays each chunk. `reset`: resets existing
 * and new connections. `deaf`: forwards nothing back to the caller. `silent`: forwards nothing in either direction.
 * `oldSilent`: forwards nothing on connections that are open when the mode is set, and everything on later ones.
 */
export type LinkMode = "well" | "slow" | "reset" | "deaf" | "silent" | "oldSilent";
