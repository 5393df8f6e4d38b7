import type { NoEffectProof } from "@auburnarch/errors/NoEffectProof";

/**
 * What is known of a change of a batch job. `unknown`: it may have taken effect, or may still do so. A change is
 * `refused` only if neither it nor an earlier one of the same kind for the same batch job by this process can take
 * effect. `readBackError` is why a read that should have settled an unknown outcome failed.
 */
export type ChangeOutcome =
    | { kind: "done"; }
    | { kind: "refused"; proof: NoEffectProof; }
    | { kind: "unknown"; error: unknown; readBackError?: unknown; };
