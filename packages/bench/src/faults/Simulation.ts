import type { FakeClock } from "@auburnarch/clock/FakeClock";
import type { FakeStoreControl } from "@auburnarch/fakes/FakeStoreControl";
import type { Logger } from "@auburnarch/types/Logger";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { Random } from "@auburnarch/types/Random";
import type { VmId } from "@auburnarch/types/VmId";
import type { VmList } from "@auburnarch/types/VmList";
import type { VmRecord } from "@auburnarch/types/VmRecord";
import type { RunObserver } from "./checks/RunObserver.js";
import type { Violations } from "./checks/Violations.js";
import type { FaultGuards } from "./FaultGuards.js";
import type { Network } from "./Network.js";

/** State shared by all components of one run. */
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
    /** The current fencing number of the job lease in the object API. */
    trueFencing(): number;
    /** Records that an engine began to run a crash-inducing request. */
    recordCrashRequestRun(prompt: string): void;
    /** Records that the request crashed the engine of a VM on which nothing else ran, so that it must be the cause. */
    recordSoleCrash(prompt: string, vm: string): void;
    /** Records that a crash-inducing request crashes the engine of a VM now. */
    recordInducedCrash(vm: string, bootId: string): void;
    /** Records an engine start under which something ran. */
    recordBoot(bootId: string): void;
    /** Whether a crash-inducing request caused this crash. */
    isInducedCrash(crash: QuarantineRecord["deaths"][number]): boolean;
    /** Whether at least one entry runs and is not paused. */
    isAnyEntryActive(): boolean;
    setEntryActivityCheck(isActive: () => boolean): void;
    /** By prompt of each crash-inducing request: VMs that it alone crashed, and how often it ran. */
    crashRequests(): Map<string, { vms: Set<string>; runs: number; }>;
    /** Removes the spans from the next complete answer of a sidecar. */
    corruptNextAnswer(onCorrupted: () => void): void;
    takeAnswerCorruption(): boolean;
    /** How long the named process has had unimpaired access to the object API. */
    storeReachableForMs(name: string): number;
}
