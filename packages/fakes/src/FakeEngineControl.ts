import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Injects faults into a fake engine and shows its actual state. */
export interface FakeEngineControl {
    /** Ends all generations with reason `crashed`; every call rejects until the restart. */
    crash(): void;
    /** Restarts without generations and with a new boot id, serving `served` or what it served before. */
    restart(served?: { policy: PolicyId; version: WeightVersion; }[]): void;
    isUp(): boolean;
    /** From now on a request for which `isCrashInducing` is true crashes the engine `afterMs` after it begins to run. */
    crashOn(isCrashInducing: (request: EngineRequest) => boolean, afterMs?: number): void;
    /** The next load order answers `failed` and leaves the old, the new, or the given version served. */
    failNextLoad(leaves: "old" | "new" | WeightVersion): void;
    /** Changes the served version without an order, as a manual change on the machine would. */
    setServedVersion(policy: PolicyId, version: WeightVersion): void;
    served(): { policy: PolicyId; version: WeightVersion; }[];
    /** Engine time by attempt; the sum over all attempts is `busyMs`. */
    engineMsByAttempt(): Map<AttemptId, number>;
    busyMs(): number;
    crashes(): number;
    /** Identifies the current start of the engine. */
    bootId(): string;
    /** Number of times that each attempt began to run. */
    startsByAttempt(): Map<AttemptId, number>;
    /** Load orders that took effect, oldest first. */
    loads(): { policy: PolicyId; version: WeightVersion; fencing: number; }[];
}
