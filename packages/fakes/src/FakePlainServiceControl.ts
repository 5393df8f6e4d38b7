import type { PlainRequest } from "@auburnarch/types/PlainRequest";

/** Faults and the record of a fake plain service. */
export interface FakePlainServiceControl {
    /** How often each `Idempotency-Key` truly ran; requests without one are left out. */
    runsByKey(): Map<string, number>;
    /** How often each attempt truly ran. */
    runsByAttempt(): Map<string, number>;
    /** The next `count` requests run, but the connection breaks before the answer. */
    breakAfterRun(count: number): void;
    /** The next `count` requests find no connection and do not run. */
    refuseNext(count: number): void;
    /** The next `count` answers break off half way through the body. */
    cutBody(count: number): void;
    setLatency(latencyMs: number): void;
    /** A request for which `kills` holds takes the service down after it ran; `restart` brings it back. */
    crashOn(isCrashInducing: (request: PlainRequest) => boolean): void;
    restart(): void;
}
