import type { Clock } from "@auburnarch/types/Clock";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import { z } from "zod";
import type { Fleet } from "./Fleet.js";
import type { Keeper } from "./Keeper.js";

const prefix = "keeper/";
const keeperSchema = z.object({ entry: z.string(), address: z.string() });

interface KeeperDirectory {
    /** Tells the other entries that this one has a data folder. */
    announce(): void;
    /** Entries with a data folder that are believed alive. */
    list(): Keeper[];
}

/** Makes the directory of entries with a data folder, spread as shared documents. */
export function createKeeperDirectory(self: EntryRecord, fleet: Fleet, clock: Clock): KeeperDirectory {
    const { spread } = fleet;

    function read(name: string): Keeper[] {
        const parsed = keeperSchema.safeParse(spread.get(name)?.value);
        return parsed.success ? [parsed.data] : [];
    }

    return {
        announce: () => {
            // The start's wall time orders the announcements of one entry's runs.
            const value = { entry: self.entry, address: self.address };
            spread.offer({ name: prefix + self.entry, version: clock.wallMs(), value });
        },
        list: () => {
            const live = new Set<string>(fleet.listLiveEntries());
            const names = Object.keys(spread.digest()).filter(name => name.startsWith(prefix));
            return names.flatMap(read).filter(keeper => live.has(keeper.entry));
        },
    };
}
