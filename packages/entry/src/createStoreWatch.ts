import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { StoreWatch } from "./StoreWatch.js";

/** Wraps a store so that operators can see whether it answers. */
export function createStoreWatch(store: ObjectStore): StoreWatch {
    let reachable = true;

    async function note<T>(call: Promise<T>): Promise<T> {
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
            read: key => note(store.read(key)),
            list: prefix => note(store.list(prefix)),
            write: (key, value, expectedVersion) => note(store.write(key, value, expectedVersion)),
            remove: (key, expectedVersion) => note(store.remove(key, expectedVersion)),
            watch: (prefix, revision, waitMs) => note(store.watch(prefix, revision, waitMs)),
        },
        isReachable: () => reachable,
    };
}
