interface DrainWatch {
    /**
     * Calls `run` once `isDrained` returns true, immediately if it already does; the returned function cancels the
     * call.
     */
    add(isDrained: () => boolean, run: () => void): () => void;
    /** Evaluates the conditions again after some work has ended. */
    check(): void;
}

/** Creates a watch for running work that must end before something else begins. */
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
