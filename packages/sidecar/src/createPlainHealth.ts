import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { PlainHealth } from "./PlainHealth.js";
import type { Suspects } from "./Suspects.js";

interface PlainHealthDeps {
    nowMs: () => number;
    suspects: Suspects;
    /** Id of this run of the sidecar, from which the ids of observed crashes are formed. */
    incarnation: string;
}

/** A connection that broke this long before the refused one belongs to the same crash. */
const crashWindowMs = 5_000;
/** After this time a request may test whether the service is back. */
const downPeriodMs = 1_000;
const maxBrokenRequests = 256;

/**
 * Creates the health tracking of a plain service, which has no port to query. A request that crashes such a service
 * shows as a broken connection followed by refused ones; a broken connection alone proves no crash and makes no request
 * suspect.
 */
export function createPlainHealth(deps: PlainHealthDeps): PlainHealth {
    const brokenAtMsByDigest = new Map<ContentDigest, number>();
    let crashCount = 0;
    let refusedAtMs = Number.NEGATIVE_INFINITY;

    return {
        recordBrokenConnection: digest => {
            brokenAtMsByDigest.delete(digest);
            brokenAtMsByDigest.set(digest, deps.nowMs());
            if (brokenAtMsByDigest.size > maxBrokenRequests) {
                const [oldest] = brokenAtMsByDigest.keys();
                brokenAtMsByDigest.delete(oldest!);
            }
        },
        recordRefusedConnection: () => {
            refusedAtMs = deps.nowMs();
            const recent = [...brokenAtMsByDigest].filter(([, atMs]) => refusedAtMs - atMs <= crashWindowMs);
            brokenAtMsByDigest.clear();
            if (recent.length > 0) {
                crashCount++;
                recent.forEach(([digest]) =>
                    deps.suspects.addSuspect(digest, `${deps.incarnation}-${crashCount}`)
                );
            }
        },
        recordAnswer: digest => {
            refusedAtMs = Number.NEGATIVE_INFINITY;
            brokenAtMsByDigest.delete(digest);
            deps.suspects.clear(digest);
        },
        isDown: () => deps.nowMs() - refusedAtMs < downPeriodMs,
    };
}
