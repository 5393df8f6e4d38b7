import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { RoutedRequest } from "../RoutedRequest.js";
import type { SamplerAttemptOutcome } from "../SamplerAttemptOutcome.js";
import { targetLatencyMsOf } from "../targetLatencyMsOf.js";
import type { ServiceLimit } from "./ServiceLimit.js";

interface EndedAttempt {
    sampler: RegisteredSampler;
    outcome: SamplerAttemptOutcome;
    tookMs: number;
    /** Whether this process cancelled the attempt or its time ran out. */
    isGivenUp: boolean;
    inFlight: number;
}

/**
 * Records what an attempt shows about the load of its service: a rejection by a full sampler, an answer, or the lack of
 * one for longer than the target latency. Broken connections show nothing.
 */
export function recordAttemptLoad(
    limit: ServiceLimit,
    { route }: RoutedRequest,
    { sampler, outcome, tookMs, isGivenUp, inFlight }: EndedAttempt,
): void {
    const targetMs = targetLatencyMsOf(route);
    if (outcome.kind === "notRun" && outcome.code.number === resultCodes.overloaded.number) {
        limit.recordFull(inFlight);
    }
    else if (outcome.kind === "done" || (isGivenUp && tookMs > targetMs)) {
        limit.recordLatency(sampler.incarnation, tookMs, targetMs, inFlight);
    }
}
