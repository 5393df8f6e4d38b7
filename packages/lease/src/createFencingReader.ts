import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { JobId } from "@auburnarch/types/JobId";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import { fencingOf } from "./fencingOf.js";
import { jobLeaseKey } from "./jobLeaseKey.js";

/** Reads a job lease's present number from the object API; rejects while that is down. 0 before the first owner. */
export function createFencingReader(store: ObjectStore): (job: JobId) => Promise<FencingNumber> {
    return async job => fencingOf(await store.read(jobLeaseKey(job)));
}
