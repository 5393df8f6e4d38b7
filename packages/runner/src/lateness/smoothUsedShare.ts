interface UsedShare {
    share: number;
    atMs: number;
}

/** Longer than the interval of trainers, whose steps fill the samplers in waves. */
const memoryMs = 6_000;

/** Mean share of a service's slots that are in use, with decreasing weight of older observations. */
export function smoothUsedShare(before: UsedShare | undefined, usedShare: number, nowMs: number): UsedShare {
    if (before === undefined) {
        return { share: usedShare, atMs: nowMs };
    }
    const weight = 1 - Math.exp(-(nowMs - before.atMs) / memoryMs);
    return { share: before.share + weight * (usedShare - before.share), atMs: nowMs };
}
