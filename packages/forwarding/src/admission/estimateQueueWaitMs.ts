interface QueueState {
    /** Requests that start before this one. */
    ahead: number;
    /** Mean time for which a request holds its slot. */
    holdMs: number;
    limit: number;
    /** Time since a slot was last taken or released. */
    sinceChangeMs: number;
}

/**
 * Expected wait of a request in the queue. Slots are released every `holdMs / limit` on average. If none has been
 * released for longer than a request usually holds one, the samplers have slowed down or stopped, and the wait is longer
 * by that time.
 */
export function estimateQueueWaitMs({ ahead, holdMs, limit, sinceChangeMs }: QueueState): number {
    const intervalMs = holdMs / Math.max(1, limit);
    return (ahead + 1) * intervalMs + Math.max(0, sinceChangeMs - holdMs);
}
