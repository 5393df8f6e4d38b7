import { codeOf } from "@auburnarch/errors/codeOf";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { SharedDocument } from "@auburnarch/types/SharedDocument";
import type { StoredChange } from "@auburnarch/types/StoredChange";
import type { DocumentSyncDeps } from "./DocumentSyncDeps.js";
import type { DocumentSyncTiming } from "./DocumentSyncTiming.js";

/** Time that a list, or a watch beyond its own wait, may take before it is abandoned. */
const watchGraceMs = 5_000;
const idleMs = 1_000;
/**
 * Longest backoff before the first successful list. Until then neither this process nor the sidecars that depend on it
 * can serve, so it must not wait out the long backoff of an outage.
 */
const firstListBackoffMs = 1_500;
/** Interval at which a backoff checks whether other calls of the process succeed again, which ends it early. */
const reachabilityCheckMs = 1_500;

interface WatchedPrefix {
    prefix: string;
    /** Object key → name of the document; other keys are ignored. */
    names: ReadonlyMap<string, string>;
}

const watchedPrefixes: WatchedPrefix[] = [
    { prefix: "config/", names: new Map([["config/manifest", "manifest"]]) },
    { prefix: "quarantine", names: new Map([["quarantine", "quarantine"]]) },
];

/**
 * Creates the loops that follow the object API while this process is a relay. After any failure a prefix is listed
 * again, since changes in between may be missing; the version check discards answers of a stale replica.
 */
export function createRelay(
    deps: Pick<DocumentSyncDeps, "clock" | "random" | "logger" | "store" | "isStoreReachable" | "isRelay">,
    timing: DocumentSyncTiming,
    offer: (document: SharedDocument) => void,
    onListed: () => void,
): { start(): void; stop(): void; } {
    const stopped = new AbortController();

    function offerAll(names: WatchedPrefix["names"], changes: StoredChange[]): void {
        for (const { key, version, value } of changes) {
            const name = names.get(key);
            if (name === undefined) {
                continue;
            }
            if (value === undefined) {
                // Removal of the object is not treated as a change of intent; the last valid version stays active.
                deps.logger.warn("watchedObjectRemoved", { key, version });
                continue;
            }
            offer({ name, version, value });
        }
    }

    async function withTimeout<T>(call: Promise<T>, limitMs: number): Promise<T> {
        const done = new AbortController();
        const expired = deps.clock.sleep(limitMs, done.signal).then(() => {
            throw new Error(`The object API did not answer within ${limitMs} ms.`);
        });
        // The rejection no longer matters once the call has settled.
        expired.catch(() => undefined);
        try {
            return await Promise.race([call, expired]);
        }
        finally {
            done.abort();
        }
    }

    async function list({ prefix, names }: WatchedPrefix): Promise<ObjectVersion> {
        const listed = await withTimeout(deps.store.list(prefix), watchGraceMs);
        offerAll(names, listed.objects);
        onListed();
        return listed.revision;
    }

    async function watch({ prefix, names }: WatchedPrefix, revision: ObjectVersion): Promise<ObjectVersion> {
        const limitMs = timing.watchWaitMs + watchGraceMs;
        const answer = await withTimeout(deps.store.watch(prefix, revision, timing.watchWaitMs), limitMs);
        offerAll(names, answer.changes);
        return answer.revision;
    }

    async function pause(backoffMs: number): Promise<void> {
        let leftMs = backoffMs * (0.5 + deps.random.nextUnit());
        do {
            const sliceMs = Math.min(reachabilityCheckMs, leftMs);
            await deps.clock.sleep(sliceMs, stopped.signal);
            leftMs -= sliceMs;
        }
        while (leftMs > 0 && !stopped.signal.aborted && deps.isStoreReachable?.() !== true);
    }

    async function follow(target: WatchedPrefix): Promise<void> {
        let revision: ObjectVersion | undefined;
        let backoffMs = timing.minBackoffMs;
        let hasListed = false;
        while (!stopped.signal.aborted) {
            if (!deps.isRelay()) {
                revision = undefined;
                await deps.clock.sleep(idleMs, stopped.signal);
                continue;
            }
            try {
                revision = revision === undefined ? await list(target) : await watch(target, revision);
                backoffMs = timing.minBackoffMs;
                hasListed = true;
            }
            catch (error) {
                revision = undefined;
                deps.logger.warn("relayFailed", {
                    prefix: target.prefix,
                    code: codeOf(error).name,
                    backoffMs,
                });
                await pause(backoffMs);
                const longestMs = hasListed ? timing.maxBackoffMs : firstListBackoffMs;
                backoffMs = Math.min(longestMs, backoffMs * 2);
            }
        }
    }

    return {
        start: () => watchedPrefixes.forEach(target => void follow(target)),
        stop: () => stopped.abort(),
    };
}
