import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ConfigFault } from "@auburnarch/types/ConfigFault";

/** A manifest refused whole, with every fault named. */
export class ManifestInvalidError extends ResultError {
    readonly faults: ConfigFault[];

    constructor(faults: ConfigFault[]) {
        super(resultCodes.manifestInvalid, faults.map(fault => `${fault.path}: ${fault.message}`).join("; "));
        this.faults = faults;
    }
}
