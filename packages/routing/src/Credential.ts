import type { KeyDigest } from "@auburnarch/types/KeyDigest";

/** The credential that a caller sent. */
export type Credential =
    | { kind: "none"; }
    /** Malformed; `fault` states the reason without containing the credential. */
    | { kind: "unusable"; fault: string; }
    | { kind: "key"; digest: KeyDigest; };
