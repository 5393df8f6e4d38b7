import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { MonitoredStore } from "./MonitoredStore.js";

/** Wraps a store and tracks whether it is reachable. */
export function createMonitoredStore(store: ObjectStore): MonitoredStore {
    let reachable = true;

    async function trackReachability<T>(call: Promise<T>): Promise<T> {
        try {
            const answer = await call;
            reachable = true;
            return answer;
        }
        catch (error) {
            reachable = codeOf(error) !== resultCodes.storeUnavailable && reachable;
            throw error;
        }
    }

    return {
        store: {
            read: key => trackReachability(store.read(key)),
            list: prefix => trackReachability(store.list(prefix)),
            write: (key, value, expectedVersion) =>
                trackReachability(store.write(key, value, expectedVersion)),
            remove: (key, expectedVersion) => trackReachability(store.remove(key, expectedVersion)),
            watch: (prefix, revision, waitMs) => trackReachability(store.watch(prefix, revision, waitMs)),
        },
        isReachable: () => reachable,
    };
}
