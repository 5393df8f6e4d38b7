import type { FakeClock } from "@auburnarch/clock/FakeClock";
import type { FakeStoreControl } from "@auburnarch/fakes/FakeStoreControl";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { Random } from "@auburnarch/types/Random";
import type { VmId } from "@auburnarch/types/VmId";
import type { VmList } from "@auburnarch/types/VmList";
import type { VmRecord } from "@auburnarch/types/VmRecord";
import type { FaultGuards } from "./FaultGuards.js";
import type { RunObserver } from "./judges/RunObserver.js";
import type { Violations } from "./judges/Violations.js";
import type { Network } from "./Network.js";

/** What all parts of one run share. */
export interface Simulation {
    clock: FakeClock;
    random: Random;
    logger: Logger;
    guards: FaultGuards;
    network: Network;
    store: ObjectStore;
    storeControl: FakeStoreControl;
    storeFaults: { setOutage(down: boolean): void; setSlow(ms: number): void; };
    vmList: VmList;
    vms: {
        add(record: VmRecord): void;
        markLeaving(vm: VmId): void;
        remove(vm: VmId): void;
    };
    violations: Violations;
    observer: RunObserver;
    /** The job lease's number as it truly stands. */
    trueFencing(): number;
    /** A content that kills engines began to run. */
    recordCrashRequestRun(prompt: string): void;
    /** It is about to kill the engine of a VM on which nothing else runs, so nothing else can be to blame. */
    recordSoleCrash(prompt: string, vm: string): void;
    /** Such a content kills the engine of a VM now. */
    recordInducedCrash(vm: string, bootId: string): void;
    /** An engine start that ran something. */
    recordBoot(bootId: string): void;
    /** Whether a death of that VM at that wall time was such a content's doing. */
    isInducedCrash(crash: QuarantineRecord["deaths"][number]): boolean;
    /** Whether some entry runs and is not paused. */
    isAnyEntryActive(): boolean;
    setEntryActivityCheck(isActive: () => boolean): void;
    /** VMs that each such content killed alone, and how often it ran. */
    crashRequests(): Map<string, { vms: Set<string>; runs: number; }>;
    /** The next complete answer of a sidecar comes without its spans. */
    corruptNextAnswer(onCorrupted: () => void): void;
    takeAnswerCorruption(): boolean;
    /** For how long nothing has kept the named process from the object API. */
    storeReachableForMs(name: string): number;
}
