interface DrainWatch {
    /** Calls `run` once `isDrained` holds, at once if it does now; the result withdraws it. */
    add(isDrained: () => boolean, run: () => void): () => void;
    /** Looks again after something ended. */
    check(): void;
}

/** Makes a watch for work that must have ended before something else begins. */
export function createDrainWatch(): DrainWatch {
    const watchers = new Set<{ isDrained: () => boolean; run: () => void; }>();

    function check(): void {
        for (const watcher of [...watchers]) {
            if (watcher.isDrained()) {
                watchers.delete(watcher);
                watcher.run();
            }
        }
    }

    return {
        add: (isDrained, run) => {
            const watcher = { isDrained, run };
            watchers.add(watcher);
            check();
            return () => void watchers.delete(watcher);
        },
        check,
    };
}
