import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import type { FencingNumber } from "@auburnarch/types/FencingNumber";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { EngineStatus } from "./EngineStatus.js";
import type { OrderOutcome } from "./OrderOutcome.js";

/** An order to load weights. */
interface LoadOrder {
    policy: PolicyId;
    version: WeightVersion;
    /** Runs go on under the new weights, or end first. */
    runs: "preserved" | "finishedFirst";
    holder: string;
    fencing: FencingNumber;
    /** The order is void if the sampler has accepted another one meanwhile, even if it is carried out late. */
    expectedOrders: number;
}

/** The orders that samplers take, and what they say of themselves. */
export interface EngineOrders {
    /** Undefined if the sampler does not answer. */
    readStatus(sampler: KnownSampler): Promise<EngineStatus | undefined>;
    load(sampler: KnownSampler, order: LoadOrder): Promise<OrderOutcome>;
}
