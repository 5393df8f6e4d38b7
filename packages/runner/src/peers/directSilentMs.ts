import type { RunnerStatus } from "./RunnerStatus.js";

/** Milliseconds since the runner's own calls began to fail; 0 while they succeed. */
export const directSilentMs = ({ storeReach, storeSilentMs }: RunnerStatus): number =>
    storeReach?.silentMs ?? storeSilentMs;
