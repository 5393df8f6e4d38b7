import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { EngineStatus } from "./EngineStatus.js";
import type { OrderOutcome } from "./OrderOutcome.js";

/** An order to load weights. */
interface LoadOrder {
    policy: PolicyId;
    version: WeightVersion;
    /** Whether runs continue with the new weights or finish first. */
    runs: "preserved" | "finishedFirst";
    holder: string;
    fencing: FencingNumber;
    /** The order is void if the sampler has accepted another one meanwhile, even if this one is carried out late. */
    expectedOrders: number;
}

/** The orders that samplers accept, and their reports of their engines. */
export interface EngineOrders {
    /** Undefined if the sampler does not answer. */
    readStatus(sampler: RegisteredSampler): Promise<EngineStatus | undefined>;
    load(sampler: RegisteredSampler, order: LoadOrder): Promise<OrderOutcome>;
}
