import type { FakeClock } from "@auburnarch/clock/FakeClock";
import type { FakeStoreControl } from "@auburnarch/fakes/FakeStoreControl";
import type { GroupKeep } from "@auburnarch/types/GroupKeep";
import type { JobManifest } from "@auburnarch/types/JobManifest";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { Owner } from "../Owner.js";
import type { OwnerDeps } from "../OwnerDeps.js";
import type { OwnerGuards } from "../OwnerGuards.js";
import type { TestProcess } from "./TestProcess.js";
import type { TestSidecar } from "./TestSidecar.js";

/** A store, samplers and a scoring service, and owners that come and go. */
export interface TestWorld {
    clock: FakeClock;
    store: ObjectStore;
    control: FakeStoreControl;
    job: JobManifest;
    sidecars: TestSidecar[];
    groupStore: GroupKeep;
    lines: string[];
    /** Acquires the lease under the next number and makes an owner in a process of its own. */
    startOwner(options?: StartOptions): Promise<StartedOwner>;
    /** Violations that owners found themselves. */
    violations(): string[];
    engineMs(): number;
}

interface StartOptions {
    guards?: OwnerGuards;
    change?: (deps: OwnerDeps, process: TestProcess) => OwnerDeps;
    /** Called at each call out of the process, before it leaves and after its answer has come. */
    onCall?: (phase: "before" | "after", name: string, process: TestProcess) => void;
}

interface StartedOwner {
    owner: Owner;
    process: TestProcess;
    /** Lets the lease lapse by the holder's own clock, or be held again. */
    setHeld(held: boolean): void;
    /** As if the lease had seen another holder. */
    lose(): void;
}
