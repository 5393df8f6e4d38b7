import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { EngineRequest } from "@auburnarch/types/EngineRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** Faults and truths of a fake engine. */
export interface FakeEngineControl {
    /** Generations end with reason `crashed`; every call rejects until the restart. */
    crash(): void;
    /** Comes back empty with a new boot id, serving what is given or what it served before. */
    restart(served?: { policy: PolicyId; version: WeightVersion; }[]): void;
    isUp(): boolean;
    /** A request for which `kills` holds crashes the engine `afterMs` after it begins to run. */
    crashOn(isCrashInducing: (request: EngineRequest) => boolean, afterMs?: number): void;
    /** The next load order answers `failed` and leaves the old, the new, or another version. */
    failNextLoad(leaves: "old" | "new" | WeightVersion): void;
    /** Changes the served version behind everyone's back, as a hand at the machine would. */
    setServedVersion(policy: PolicyId, version: WeightVersion): void;
    served(): { policy: PolicyId; version: WeightVersion; }[];
    /** Engine time by attempt; the sum is `busyMs`. */
    engineMsByAttempt(): Map<AttemptId, number>;
    busyMs(): number;
    crashes(): number;
    /** Names the present start of the engine. */
    bootId(): string;
    /** How often each attempt began to run. */
    startsByAttempt(): Map<AttemptId, number>;
    /** Load orders that took effect, in order. */
    loads(): { policy: PolicyId; version: WeightVersion; fencing: number; }[];
}
