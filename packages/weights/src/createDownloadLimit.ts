/** Adaptive limit of concurrent downloads from the weight store. */
interface DownloadLimit {
    current(): number;
    recordCompletion(): void;
    /** Records that the store refused a download while `running` others of this process were in progress. */
    recordRefusal(running: number): void;
}

/** Limit until the weight store refuses a download for the first time. */
const initialLimit = 64;
/** Number of completed downloads after which the limit is raised by one. */
const completionsPerRaise = 8;

/** Creates a limit that drops to the accepted number at each refusal and rises by one after eight completions. */
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
