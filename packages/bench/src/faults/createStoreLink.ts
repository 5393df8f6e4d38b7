import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Simulation } from "./Simulation.js";

const cutTimeoutMs = 300;

/** The object API as seen by one process: during a partition calls fail, whether or not they took effect. */
export function createStoreLink(simulation: Simulation, from: string): ObjectStore {
    const { store, network, clock } = simulation;

    async function call<T>(run: () => Promise<T>): Promise<T> {
        if (network.isCut(from, "store")) {
            await clock.sleep(cutTimeoutMs);
            throw new ResultError(resultCodes.storeUnavailable, "cut");
        }
        const answer = await run();
        if (network.isCut(from, "store")) {
            throw new ResultError(resultCodes.storeUnavailable, "cut");
        }
        return answer;
    }

    return {
        read: key => call(() => store.read(key)),
        list: prefix => call(() => store.list(prefix)),
        write: (key, value, expected) => call(() => store.write(key, value, expected)),
        remove: (key, expected) => call(() => store.remove(key, expected)),
        watch: (prefix, revision, waitMs) => call(() => store.watch(prefix, revision, waitMs)),
    };
}
