import type { FakeEngineControl } from "@auburnarch/fakes/FakeEngineControl";
import type { FakePlainServiceControl } from "@auburnarch/fakes/FakePlainServiceControl";
import type { FakeStoreControl } from "@auburnarch/fakes/FakeStoreControl";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { VmRecord } from "@auburnarch/types/VmRecord";

/** Fakes of the external systems, served on loopback, with their state and controls to inject faults. */
export interface ExternalFakes {
    objectApiUrl: string;
    vmListUrl: string;
    weightStoreUrl: string;
    scoringUrl: string;
    engineUrls: Map<SamplerId, string>;
    backendUrls: Map<SamplerId, string>;
    store: ObjectStore;
    storeControl: FakeStoreControl;
    engines: Map<SamplerId, FakeEngineControl>;
    backends: Map<SamplerId, FakePlainServiceControl>;
    addVm(record: VmRecord): void;
    close(): Promise<void>;
}
