/** Downloads asked of the weight store at once, found by trying. */
interface DownloadLimit {
    current(): number;
    noteDone(): void;
    /** The store refused while `running` downloads of ours were under way. */
    noteRefused(running: number): void;
}

/** Limit until the weight store has refused one. */
const startLimit = 64;
/** Completed downloads after which one more at once is tried. */
const raisedAfter = 8;

/** Makes a limit that falls to what was accepted at each refusal and rises by one after eight completions. */
export function createDownloadLimit(): DownloadLimit {
    let limit = startLimit;
    let doneSinceChange = 0;
    return {
        current: () => limit,
        noteDone: () => {
            doneSinceChange++;
            if (doneSinceChange >= raisedAfter) {
                doneSinceChange = 0;
                limit++;
            }
        },
        noteRefused: running => {
            limit = Math.max(1, Math.min(limit, running));
            doneSinceChange = 0;
        },
    };
}
