import { createTextJournal } from "@auburnarch/persistence/createTextJournal";
import { createTextCache } from "@auburnarch/runner/items/createTextCache";
import type { TextCache } from "@auburnarch/runner/items/TextCache";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { RoleContext } from "./RoleContext.js";

interface OpenedShelf {
    shelf: TextCache;
    /** Puts what waits on the disk, unless the disk takes too long. */
    flush(): Promise<void>;
}

/** A disk may hang for seconds; starting without the texts of before costs less than waiting for them. */
const diskPatienceMs = 800;

/** Opens the shelf of unfinished texts, on the disk of the VM if there is one. */
export async function openTextShelf({ settings, clock, logger }: RoleContext): Promise<OpenedShelf> {
    const { dataFolder } = settings;
    if (dataFolder === undefined) {
        return { shelf: createTextCache(), flush: async () => {} };
    }
    const journal = createTextJournal({ folder: dataFolder, clock, logger });
    const patient = <T>(work: Promise<T>, otherwise: T): Promise<T> => {
        const stop = new AbortController();
        return Promise.race([work, clock.sleep(diskPatienceMs, stop.signal).then(() => otherwise)])
            .finally(() => stop.abort());
    };
    const earlier = await patient(journal.load(), new Map<string, TokenSpan[]>());
    return {
        shelf: createTextCache({ restored: earlier, persist: journal.record }),
        flush: () => patient(journal.flush(), undefined),
    };
}
