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
const deathWindowMs = 5_000;
/** After this a request may find out whether the service is back. */
const downMs = 1_000;
const maxBroken = 256;

/**
 * Makes the watch over a plain service, which has no port to ask. A request that kills such a service shows as a
 * broken connection followed by refused ones; a break alone proves no death and makes nobody suspect.
 */
export function createPlainHealth(deps: PlainHealthDeps): PlainHealth {
    const broken = new Map<ContentDigest, number>();
    let deaths = 0;
    let refusedAtMs = Number.NEGATIVE_INFINITY;

    return {
        noteBroken: digest => {
            broken.delete(digest);
            broken.set(digest, deps.nowMs());
            if (broken.size > maxBroken) {
                const [oldest] = broken.keys();
                broken.delete(oldest!);
            }
        },
        noteRefused: () => {
            refusedAtMs = deps.nowMs();
            const recent = [...broken].filter(([, atMs]) => refusedAtMs - atMs <= deathWindowMs);
            broken.clear();
            if (recent.length > 0) {
                deaths++;
                recent.forEach(([digest]) => deps.suspects.accuse(digest, `${deps.incarnation}-${deaths}`));
            }
        },
        noteAnswered: digest => {
            refusedAtMs = Number.NEGATIVE_INFINITY;
            broken.delete(digest);
            deps.suspects.clear(digest);
        },
        isDown: () => deps.nowMs() - refusedAtMs < downMs,
    };
}
