import type { ConfigFault } from "./ConfigFault.js";
import type { VersionedManifest } from "./VersionedManifest.js";

/** Body of every answer of the operators' interface that is not a success. */
export interface OperatorError {
    /** Number of the result code. */
    code: number;
    name: string;
    message: string;
    action: string;
    /** Faults of a refused manifest. */
    faults?: ConfigFault[];
    /** With `manifestRaced`: what stands published now. */
    current?: VersionedManifest;
}
