import { digestContent } from "@auburnarch/transport/digestContent";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { RoutedRequest } from "../RoutedRequest.js";
import type { RefusedContents } from "./RefusedContents.js";

interface Refusals {
    /** Refusals of equal requests that have not returned yet. */
    count: number;
    refusedAtMs: number;
    lastRefusedAtMs: number;
}

/** A caller that honours Retry-After returns within a third of its deadline, usually less than a second. */
const retentionMs = 5_000;
/** Maximum of digests, some 0.5 MB; the oldest are evicted first. */
const maxDigests = 4_096;

const digestOf = ({ team, method, path, body }: RoutedRequest): ContentDigest =>
    digestContent({ target: team ?? "", method, path, body });

/** Creates the record of refused requests of one gateway. Nothing is digested until one is refused. */
export function createRefusedContents(nowMs: () => number): RefusedContents {
    const refusals = new Map<ContentDigest, Refusals>();

    function dropExpired(): void {
        for (const [digest, { lastRefusedAtMs }] of refusals) {
            if (refusals.size <= maxDigests && nowMs() - lastRefusedAtMs < retentionMs) {
                return;
            }
            refusals.delete(digest);
        }
    }

    return {
        record: (request, firstRefusedAtMs = nowMs()) => {
            const digest = digestOf(request);
            const known = refusals.get(digest);
            refusals.delete(digest);
            refusals.set(digest, {
                count: (known?.count ?? 0) + 1,
                refusedAtMs: Math.min(known?.refusedAtMs ?? firstRefusedAtMs, firstRefusedAtMs),
                lastRefusedAtMs: nowMs(),
            });
            dropExpired();
        },
        take: request => {
            dropExpired();
            const digest = refusals.size === 0 ? undefined : digestOf(request);
            const known = digest === undefined ? undefined : refusals.get(digest);
            if (digest === undefined || known === undefined) {
                return undefined;
            }
            known.count--;
            if (known.count === 0) {
                refusals.delete(digest);
            }
            return known.refusedAtMs;
        },
    };
}
