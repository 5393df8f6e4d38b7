import { createTextJournal } from "@auburnarch/persistence/createTextJournal";
import { createTextCache } from "@auburnarch/runner/items/createTextCache";
import type { TextCache } from "@auburnarch/runner/items/TextCache";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { RoleContext } from "./RoleContext.js";

interface OpenedTextCache {
    textCache: TextCache;
    /** Writes pending texts to disk, unless the disk takes too long. */
    flush(): Promise<void>;
}

/** A disk may hang for seconds; starting without the stored texts costs less than waiting for them. */
const maxDiskWaitMs = 800;

/** Opens the cache of unfinished texts, persisted in the data folder if there is one. */
export async function openTextCache({ settings, clock, logger }: RoleContext): Promise<OpenedTextCache> {
    const { dataFolder } = settings;
    if (dataFolder === undefined) {
        return { textCache: createTextCache(), flush: async () => {} };
    }
    const journal = createTextJournal({ folder: dataFolder, clock, logger });
    const withTimeout = <T>(work: Promise<T>, fallback: T): Promise<T> => {
        const stop = new AbortController();
        return Promise.race([work, clock.sleep(maxDiskWaitMs, stop.signal).then(() => fallback)])
            .finally(() => stop.abort());
    };
    const restored = await withTimeout(journal.load(), new Map<string, TokenSpan[]>());
    return {
        textCache: createTextCache({ restored, persist: journal.record }),
        flush: () => withTimeout(journal.flush(), undefined),
    };
}
