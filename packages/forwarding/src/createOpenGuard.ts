import type { ContentGuard } from "./ContentGuard.js";

const openGuard: ContentGuard = {
    admit: () => 0,
    mayRetry: () => true,
    recordSent: () => {},
    recordNotRun: () => {},
    hadEnded: () => false,
    recordBreak: () => {},
    recordCompletion: () => {},
    close: () => {},
    describe: () => ({}),
};

/** Returns the guard of a request that is never the cause of a sampler's crash: nothing is refused or recorded. */
export function createOpenGuard(): ContentGuard {
    return openGuard;
}
