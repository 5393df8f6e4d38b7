import type { faultKinds } from "./faultKinds.js";

/** A kind of fault that a run may inject. */
export type FaultKind = typeof faultKinds[number];
