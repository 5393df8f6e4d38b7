import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { RoutedRequest } from "./RoutedRequest.js";
import type { SamplerAttemptOutcome } from "./SamplerAttemptOutcome.js";

/** Single attempts of requests at samplers. */
export interface SamplerAttempts {
    /** The sampler that is expected to answer first, among those not tried yet. */
    pick(request: RoutedRequest, tried: ReadonlySet<IncarnationId>): RegisteredSampler | undefined;
    run(
        request: RoutedRequest,
        sampler: RegisteredSampler,
        budgetMs: number,
        signal: AbortSignal,
    ): Promise<SamplerAttemptOutcome>;
}
