import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobId } from "@auburnarch/types/JobId";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import { fencingOf } from "./fencingOf.js";
import { jobLeaseKey } from "./jobLeaseKey.js";

/**
 * Creates a reader of the current fencing number of a job's lease, 0 before the first owner. It rejects while the
 * object API is unavailable.
 */
export function createFencingReader(store: ObjectStore): (job: JobId) => Promise<FencingNumber> {
    return async job => fencingOf(await store.read(jobLeaseKey(job)));
}
