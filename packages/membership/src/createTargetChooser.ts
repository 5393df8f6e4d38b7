import type { Clock } from "@auburnarch/types/Clock";
import { chooseOverDomains } from "./chooseOverDomains.js";
import type { createEntryDirectory } from "./createEntryDirectory.js";
import type { EntryTarget } from "./EntryTarget.js";

/** The entries that a sidecar reports to. */
interface TargetChooser {
    choose(): EntryTarget[];
    /** The directory has changed: choose anew. */
    invalidate(): void;
}

/** How long a choice stands while nothing fails; hashing all entries each time would cost more. */
const choiceCacheMs = 5_000;
const maxWeights = 2_048;

/** Makes the choice of `count` entries for `key` out of those that answer. */
export function createTargetChooser(
    key: string,
    count: number,
    directory: ReturnType<typeof createEntryDirectory>,
    clock: Clock,
): TargetChooser {
    const weights = new Map<string, string>();
    let chosen: { targets: EntryTarget[]; untilMs: number; } | undefined;

    function recomputeChoice(): EntryTarget[] {
        // Addresses come and go for as long as the sidecar runs.
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
