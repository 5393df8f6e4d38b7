import type { ObjectStore } from "@auburnarch/types/ObjectStore";

/** A store with its reachability. */
export interface MonitoredStore {
    store: ObjectStore;
    /** False if the last completed call received no answer. */
    isReachable: () => boolean;
}
