import type { ConfigFault } from "./ConfigFault.js";
import type { VersionedManifest } from "./VersionedManifest.js";

/** Body of every unsuccessful answer of the operator interface. */
export interface OperatorError {
    /** Number of the result code. */
    code: number;
    name: string;
    message: string;
    action: string;
    /** Faults of a refused manifest. */
    faults?: ConfigFault[];
    /** With `manifestRaced`: the manifest published now. */
    current?: VersionedManifest;
}
