import type { Lot } from "./Lot.js";
import type { LotId } from "./LotId.js";
import type { LotStore } from "./LotStore.js";

/** Jobs as they were submitted, of which clients ask for items; about 100 kB each. */
const maxCachedLots = 24;

/** Makes the reader of submitted jobs, which keeps those it read last: they never change. */
export function createLotBodies(lots: Pick<LotStore, "readLot">): (lot: LotId) => Promise<Lot | undefined> {
    const bodies = new Map<LotId, Lot>();
    return async lot => {
        const present = bodies.get(lot);
        if (present !== undefined) {
            return present;
        }
        const found = await lots.readLot(lot);
        if (found !== undefined) {
            bodies.set(lot, found);
            if (bodies.size > maxCachedLots) {
                bodies.delete(bodies.keys().next().value!);
            }
        }
        return found;
    };
}
