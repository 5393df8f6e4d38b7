import type { ConfigVersion } from "./ConfigVersion.js";
import type { EntryId } from "./EntryId.js";
import type { OperatorMember } from "./OperatorMember.js";

/** Answer of `GET /operator/status`. `members` includes the answering entry itself. */
export interface OperatorStatus {
    entry: EntryId;
    /** Manifest version in effect at the answering entry; 0 before the first. */
    configVersion: ConfigVersion;
    /** Name of the manifest in effect; undefined before the first. */
    manifestName: string | undefined;
    ready: boolean;
    /** False while this entry gets no answer from the object API. */
    storeReachable: boolean;
    members: OperatorMember[];
}
