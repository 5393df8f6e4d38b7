import type { Clock } from "@auburnarch/types/Clock";
import { chooseOverDomains } from "./chooseOverDomains.js";
import type { createEntryDirectory } from "./createEntryDirectory.js";
import type { EntryTarget } from "./EntryTarget.js";

/** The entries that a sidecar reports to. */
interface TargetChooser {
    choose(): EntryTarget[];
    /** Discards the current choice after a change of the directory. */
    invalidate(): void;
}

/** How long a choice is cached while nothing fails, to avoid hashing all entries on each call. */
const choiceCacheMs = 5_000;
const maxWeights = 2_048;

/** Creates the choice of `count` usable entries for `key`. */
export function createTargetChooser(
    key: string,
    count: number,
    directory: ReturnType<typeof createEntryDirectory>,
    clock: Clock,
): TargetChooser {
    const weights = new Map<string, string>();
    let chosen: { targets: EntryTarget[]; untilMs: number; } | undefined;

    function recomputeChoice(): EntryTarget[] {
        // Addresses keep changing while the sidecar runs, so the cache must be bounded.
        if (weights.size > maxWeights) {
            weights.clear();
        }
        return chooseOverDomains(key, directory.listUsable(), count, weights);
    }

    return {
        choose: () => {
            const nowMs = clock.monotonicMs();
            if (chosen === undefined || nowMs >= chosen.untilMs) {
                chosen = { targets: recomputeChoice(), untilMs: nowMs + choiceCacheMs };
            }
            return chosen.targets;
        },
        invalidate: () => {
            chosen = undefined;
        },
    };
}
