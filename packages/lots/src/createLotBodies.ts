import type { Lot } from "./Lot.js";
import type { LotId } from "./LotId.js";
import type { LotStore } from "./LotStore.js";

interface LotBodies {
    /** Keeps a job that was just accepted here: its client asks for its items here too. */
    keep(lot: Lot): void;
    read(lot: LotId): Promise<Lot | undefined>;
}

/** Jobs as they were submitted, of which clients ask for items; about 100 kB each. */
const maxCachedLots = 24;

/** Makes the reader of submitted jobs, which keeps those it read last: they never change. */
export function createLotBodies(lots: Pick<LotStore, "readLot">): LotBodies {
    const bodies = new Map<LotId, Lot>();

    function keep(lot: Lot): void {
        bodies.delete(lot.lot);
        bodies.set(lot.lot, lot);
        if (bodies.size > maxCachedLots) {
            bodies.delete(bodies.keys().next().value!);
        }
    }

    return {
        keep,
        read: async lot => {
            const present = bodies.get(lot);
            if (present !== undefined) {
                return present;
            }
            const found = await lots.readLot(lot);
            if (found !== undefined) {
                keep(found);
            }
            return found;
        },
    };
}
