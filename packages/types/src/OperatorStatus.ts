import type { ConfigVersion } from "./ConfigVersion.js";
import type { EntryId } from "./EntryId.js";
import type { OperatorMember } from "./OperatorMember.js";

/** Answer of `GET /operator/status`. Members include the answering entry itself. */
export interface OperatorStatus {
    entry: EntryId;
    /** Version in force at the answering entry; 0 before the first. */
    configVersion: ConfigVersion;
    /** Name of the manifest in force; undefined before the first. */
    manifestName: string | undefined;
    ready: boolean;
    /** False while the object API does not answer this entry. */
    storeReachable: boolean;
    members: OperatorMember[];
}
