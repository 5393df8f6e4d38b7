import type { ConfigVersion } from "./ConfigVersion.js";

/** A process as seen by the answering entry. */
export interface OperatorMember {
    name: string;
    role: "entry" | "sidecar";
    vm: string;
    address: string;
    failureDomain: string;
    region: string;
    state: "ready" | "suspected" | "leaving" | "swapping" | "unknownVersion" | "engineDown";
    /** Manifest version in effect there as last reported; 0 if unknown. */
    configVersion: ConfigVersion;
    /** Age of the latest information about it. */
    ageMs: number;
}
