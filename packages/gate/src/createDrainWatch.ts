import type { PolicyId } from "@auburnarch/types/PolicyId";

interface DrainWatch {
    /** Calls `run` once nothing of the policy runs, at once if that is so now; the result withdraws it. */
    add(policy: PolicyId, run: () => void): () => void;
    /** Looks again after something ended. */
    check(): void;
}

/** Makes a watch for policies of which nothing runs any more. */
export function createDrainWatch(runningOf: (policy: PolicyId) => number): DrainWatch {
    const watchers = new Set<{ policy: PolicyId; run: () => void; }>();

    function check(): void {
        for (const watcher of [...watchers]) {
            if (runningOf(watcher.policy) === 0) {
                watchers.delete(watcher);
                watcher.run();
            }
        }
    }

    return {
        add: (policy, run) => {
            const watcher = { policy, run };
            watchers.add(watcher);
            check();
            return () => void watchers.delete(watcher);
        },
        check,
    };
}
