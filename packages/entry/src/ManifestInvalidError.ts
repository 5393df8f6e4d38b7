import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ConfigFault } from "@auburnarch/types/ConfigFault";

/** An invalid manifest, with all its faults; nothing of it was applied. */
export class ManifestInvalidError extends ResultError {
    readonly faults: ConfigFault[];

    constructor(faults: ConfigFault[]) {
        super(resultCodes.manifestInvalid, faults.map(fault => `${fault.path}: ${fault.message}`).join("; "));
        this.faults = faults;
    }
}
