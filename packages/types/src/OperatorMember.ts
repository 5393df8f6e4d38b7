import type { ConfigVersion } from "./ConfigVersion.js";

/** A process as the answering entry sees it. */
export interface OperatorMember {
    name: string;
    role: "entry" | "sidecar";
    vm: string;
    address: string;
    failureDomain: string;
    region: string;
    state: "ready" | "suspected" | "leaving" | "swapping" | "unknownVersion" | "engineDown";
    /** Manifest version in force there as last heard; 0 where not known. */
    configVersion: ConfigVersion;
    /** Age of what is known of it. */
    ageMs: number;
}
