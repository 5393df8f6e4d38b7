import type { Clock } from "@auburnarch/types/Clock";

/**
 * The answer of `call`, or undefined if it fails or takes longer than `limitMs`. A peer that takes a message and
 * never answers would otherwise hold its sender for ever.
 */
export async function callInTime<T>(
    clock: Clock,
    limitMs: number,
    call: () => Promise<T>,
): Promise<{ answer: T; } | undefined> {
    const done = new AbortController();
    const expired = clock.sleep(limitMs, done.signal).then(() => undefined);
    try {
        return await Promise.race([call().then(answer => ({ answer })), expired]);
    }
    catch {
        return undefined;
    }
    finally {
        done.abort();
    }
}
