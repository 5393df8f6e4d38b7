import type { FakeClock } from "@auburnarch/clock/FakeClock";
import type { FakeStoreControl } from "@auburnarch/fakes/FakeStoreControl";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Owner } from "../Owner.js";
import type { OwnerDeps } from "../OwnerDeps.js";
import type { OwnerGuards } from "../OwnerGuards.js";
import type { TestProcess } from "./TestProcess.js";
import type { TestSidecar } from "./TestSidecar.js";

/** A test environment: object store, samplers, scoring service and any number of owners. */
export interface TestWorld {
    clock: FakeClock;
    store: ObjectStore;
    control: FakeStoreControl;
    job: JobManifest;
    sidecars: TestSidecar[];
    groupStore: GroupStore;
    lines: string[];
    /** Acquires the lease under the next fencing number and creates an owner in its own process. */
    startOwner(options?: StartOptions): Promise<StartedOwner>;
    /** Invariant violations that owners reported. */
    violations(): string[];
    engineMs(): number;
}

interface StartOptions {
    guards?: OwnerGuards;
    change?: (deps: OwnerDeps, process: TestProcess) => OwnerDeps;
    /** Called for each outgoing call of the process, before it is sent and after its answer has arrived. */
    onCall?: (phase: "before" | "after", name: string, process: TestProcess) => void;
}

interface StartedOwner {
    owner: Owner;
    process: TestProcess;
    /** Sets whether the lease is unexpired by the holder's own clock. */
    setHeld(held: boolean): void;
    /** Simulates that the lease was seen with another holder. */
    loseLease(): void;
}
