import type { PlainRequest } from "@auburnarch/types/PlainRequest";

/** Injects faults into a fake plain service and counts the requests it ran. */
export interface FakePlainServiceControl {
    /** Number of runs for each `Idempotency-Key`; requests without a key are not counted. */
    runsByKey(): Map<string, number>;
    /** Number of runs of each attempt. */
    runsByAttempt(): Map<string, number>;
    /** The next `count` requests run, but their connections break before the answer. */
    breakAfterRun(count: number): void;
    /** The next `count` requests fail to connect and do not run. */
    refuseNext(count: number): void;
    /** The next `count` answers are cut short half way through the body. */
    cutBody(count: number): void;
    setLatency(latencyMs: number): void;
    /** From now on a request for which `isCrashInducing` is true runs and then crashes the service, until `restart`. */
    crashOn(isCrashInducing: (request: PlainRequest) => boolean): void;
    restart(): void;
}
