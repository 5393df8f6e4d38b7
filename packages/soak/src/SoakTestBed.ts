import type { FakePlatformStore } from "@auburnarch/platform/testing/FakePlatformStore";
import type { FakeSampler } from "@auburnarch/platform/testing/FakeSampler";
import type { FakeUsageReports } from "@auburnarch/platform/testing/FakeUsageReports";
import type { LinkProxy } from "./LinkProxy.js";
import type { Program } from "./Program.js";

/** A slot for a sampler: the current sampler, behind a link that stays when the sampler is replaced. */
interface SamplerSlot {
    service: string;
    link: LinkProxy;
    current(): FakeSampler;
    /** Replaces the sampler. If announced, the old one is marked as draining and serves for a while first. */
    replace(isAnnounced: boolean): Promise<void>;
    /** Removes the sampler permanently, after a drain if announced. It still serves requests that reach it. */
    leave(isAnnounced: boolean): Promise<void>;
}

/** The processes and fakes of one run. */
export interface SoakTestBed {
    models: string[];
    /** Number of events in each item's text. */
    eventsPerItem: number;
    store: FakePlatformStore;
    usageReports: FakeUsageReports;
    gateways: Program[];
    /** All gateways and runners. */
    programs: Program[];
    /** Links from each program to the store, by the program's name; its settings file names one of them. */
    storeLinks: Map<string, LinkProxy[]>;
    slots: SamplerSlot[];
    /** Every sampler of the run, including replaced and removed ones. */
    samplers: FakeSampler[];
    /** Time at which each sampler began to leave, by its id. */
    leftAtMs: Map<string, number>;
    /** Newest version named by a trainer, by model. */
    versions: Map<string, number>;
    nameVersion(model: string, version: number): void;
    configVersion(): number;
    changeConfiguration(): void;
    close(): Promise<void>;
}
