import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { PlainHealth } from "./PlainHealth.js";
import type { Suspects } from "./Suspects.js";

interface PlainHealthDeps {
    nowMs: () => number;
    suspects: Suspects;
    /** Names this run of the sidecar, for the names of the deaths it sees. */
    incarnation: string;
}

/** A break this long before the refused connection belongs to the same death. */
const crashWindowMs = 5_000;
/** After this a request may find out whether the service is back. */
const downPeriodMs = 1_000;
const maxBrokenRequests = 256;

/**
 * Makes the watch over a plain service, which has no port to ask. A request that kills such a service shows as a
 * broken connection followed by refused ones; a break alone proves no death and makes nobody suspect.
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
