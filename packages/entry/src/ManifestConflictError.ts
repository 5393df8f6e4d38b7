import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { StoredObject } from "@auburnarch/types/StoredObject";

/** A manifest was not published because another change came first; carries the published object. */
export class ManifestConflictError extends ResultError {
    readonly current: StoredObject | undefined;

    constructor(current: StoredObject | undefined) {
        super(resultCodes.manifestRaced, `published version ${current?.version ?? 0}`);
        this.current = current;
    }
}
