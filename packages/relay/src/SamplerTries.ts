import type { KnownSampler } from "@auburnarch/discovery/KnownSampler";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { RelayRequest } from "./RelayRequest.js";
import type { Tried } from "./Tried.js";

/** Single tries of requests at samplers. */
export interface SamplerTries {
    /** The sampler that is expected to answer first, of those not tried yet. */
    pick(request: RelayRequest, tried: ReadonlySet<IncarnationId>): KnownSampler | undefined;
    run(request: RelayRequest, sampler: KnownSampler, budgetMs: number, signal: AbortSignal): Promise<Tried>;
}
