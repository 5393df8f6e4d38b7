import type { Clock } from "@auburnarch/types/Clock";
import { SettingsReadError } from "./SettingsReadError.js";

interface LimitedReadOptions {
    readText: () => Promise<string>;
    clock: Clock;
    /** Time after which a read is given up; it may go on in the background. */
    limitMs: number;
}

/** Each read that hangs occupies a thread of the runtime's pool. */
const maxReadsInFlight = 2;

/** Returns a read that rejects with a `SettingsReadError` if the file system does not answer within a limit. */
export function createLimitedRead({ readText, clock, limitMs }: LimitedReadOptions): () => Promise<string> {
    let readsInFlight = 0;
    const createError = (): SettingsReadError => new SettingsReadError(`not read within ${limitMs} ms`);

    async function read(): Promise<string> {
        readsInFlight++;
        try {
            return await readText();
        }
        finally {
            readsInFlight--;
        }
    }

    return async () => {
        if (readsInFlight >= maxReadsInFlight) {
            throw createError();
        }
        const answered = new AbortController();
        // Two waits, because after a pause of the process the first one ends before the read can.
        const giveUp = async (): Promise<never> => {
            await clock.sleep(limitMs / 2, answered.signal);
            await clock.sleep(limitMs / 2, answered.signal);
            throw createError();
        };
        try {
            return await Promise.race([read(), giveUp()]);
        }
        finally {
            answered.abort();
        }
    };
}
