/** Downloads asked of the weight store at once, found by trying. */
interface DownloadLimit {
    current(): number;
    recordCompletion(): void;
    /** The store refused while `running` downloads of ours were under way. */
    recordRefusal(running: number): void;
}

/** Limit until the weight store has refused one. */
const initialLimit = 64;
/** Completed downloads after which one more at once is tried. */
const completionsPerRaise = 8;

/** Makes a limit that falls to what was accepted at each refusal and rises by one after eight completions. */
export function createDownloadLimit(): DownloadLimit {
    let limit = initialLimit;
    let completedSinceChange = 0;
    return {
        current: () => limit,
        recordCompletion: () => {
            completedSinceChange++;
            if (completedSinceChange >= completionsPerRaise) {
                completedSinceChange = 0;
                limit++;
            }
        },
        recordRefusal: running => {
            limit = Math.max(1, Math.min(limit, running));
            completedSinceChange = 0;
        },
    };
}
