import type { Clock } from "@auburnarch/types/Clock";
import type { EntryRecord } from "@auburnarch/types/EntryRecord";
import { z } from "zod";
import type { Fleet } from "./Fleet.js";
import type { GroupStoreHost } from "./GroupStoreHost.js";

const prefix = "keeper/";
const hostSchema = z.object({ entry: z.string(), address: z.string() });

interface GroupStoreDirectory {
    /** Announces to the other entries that this one has a data folder. */
    announce(): void;
    /** Entries with a data folder that are believed to be alive. */
    list(): GroupStoreHost[];
}

/** Creates the directory of entries with a data folder; the entries exchange it as shared documents. */
export function createGroupStoreDirectory(
    self: EntryRecord,
    fleet: Fleet,
    clock: Clock,
): GroupStoreDirectory {
    const { documentSync } = fleet;

    function read(name: string): GroupStoreHost[] {
        const parsed = hostSchema.safeParse(documentSync.get(name)?.value);
        return parsed.success ? [parsed.data] : [];
    }

    return {
        announce: () => {
            // The wall-clock time of the start serves as version: it orders the announcements of successive runs.
            const value = { entry: self.entry, address: self.address };
            documentSync.offer({ name: prefix + self.entry, version: clock.wallMs(), value });
        },
        list: () => {
            const liveEntries = new Set<string>(fleet.listLiveEntries());
            const names = Object.keys(documentSync.digest()).filter(name => name.startsWith(prefix));
            return names.flatMap(read).filter(host => liveEntries.has(host.entry));
        },
    };
}
