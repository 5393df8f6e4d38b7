import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { StoredObject } from "@auburnarch/types/StoredObject";

/** A manifest that lost against another change, with what stands published now. */
export class ManifestConflictError extends ResultError {
    readonly current: StoredObject | undefined;

    constructor(current: StoredObject | undefined) {
        super(resultCodes.manifestRaced, `published version ${current?.version ?? 0}`);
        this.current = current;
    }
}
