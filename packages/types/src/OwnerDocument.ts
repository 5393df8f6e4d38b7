import type { EntryId } from "./EntryId.js";
import type { FencingNumber } from "./FencingNumber.js";
import type { JobId } from "./JobId.js";

/** Value of the shared document `owner/<job>`; its version is the fencing number. */
export interface OwnerDocument {
    job: JobId;
    entry: EntryId;
    address: string;
    fencing: FencingNumber;
}
