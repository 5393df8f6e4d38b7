import type { KeyDigest } from "@auburnarch/types/KeyDigest";

/** What a caller sent to say who it is. */
export type Credential =
    | { kind: "none"; }
    /** It can't be a key of anybody; `fault` says why without showing it. */
    | { kind: "unusable"; fault: string; }
    | { kind: "key"; digest: KeyDigest; };
