import type { ObjectStore } from "@auburnarch/types/ObjectStore";

/** A store, and whether it answers. */
export interface MonitoredStore {
    store: ObjectStore;
    /** False while the last call that ended did so without an answer. */
    isReachable: () => boolean;
}
