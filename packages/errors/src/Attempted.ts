import type { NoEffectProof } from "./NoEffectProof.js";

/** What is known of one attempt to change something at an external system. */
export type Attempted<T> =
    | { kind: "answered"; answer: T; }
    | { kind: "refused"; proof: NoEffectProof; }
    | { kind: "unknown"; error: unknown; };
