/**
 * A call without an answer for this long is also sent through a peer that the store answers. A slow store answers sooner;
 * the time limit of the call itself ends only after the window in which the holder of a lease may act.
 */
export const suspectAfterMs = 300;
