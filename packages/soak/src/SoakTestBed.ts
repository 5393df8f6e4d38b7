import type { FakePlatformStore } from "@auburnarch/platform/testing/FakePlatformStore";
import type { FakeSampler } from "@auburnarch/platform/testing/FakeSampler";
import type { FakeUsageReports } from "@auburnarch/platform/testing/FakeUsageReports";
import type { LinkProxy } from "./LinkProxy.js";
import type { Program } from "./Program.js";

/** A sampler's place: the sampler that stands there now, behind its link. */
interface SamplerSlot {
    service: string;
    link: LinkProxy;
    current(): FakeSampler;
    /** Puts a new sampler there; the old one goes on for a while, as a draining one does. */
    replace(isAnnounced: boolean): Promise<void>;
    /** The sampler leaves for good, without a word first if not announced, and goes on serving whoever still sends. */
    leave(isAnnounced: boolean): Promise<void>;
}

/** The processes and stand-ins of one run. */
export interface SoakTestBed {
    models: string[];
    /** Events of each item's text. */
    eventsPerItem: number;
    store: FakePlatformStore;
    usageReports: FakeUsageReports;
    gateways: Program[];
    /** Gateways and runners. */
    programs: Program[];
    /** Way of each program to the store, by its name. */
    storeLinks: Map<string, LinkProxy>;
    slots: SamplerSlot[];
    /** Every sampler that ever stood anywhere. */
    samplers: FakeSampler[];
    /** When each sampler was first said to leave, by its id. */
    leftAtMs: Map<string, number>;
    /** Newest version that a trainer named, by model. */
    versions: Map<string, number>;
    nameVersion(model: string, version: number): void;
    configVersion(): number;
    changeConfiguration(): void;
    close(): Promise<void>;
}
