import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { RegisteredSampler } from "./RegisteredSampler.js";

/** Registry of the samplers that may receive new work. */
export interface SamplerDirectory {
    /** False until the samplers have been listed once. */
    isKnown(): boolean;
    /** Samplers of a service that are neither draining nor removed. */
    serving(service: ServiceId): RegisteredSampler[];
    find(incarnation: IncarnationId): RegisteredSampler | undefined;
    /** False for a sampler whose entry is missing and that is only retained until it can have registered again. */
    isListed(incarnation: IncarnationId): boolean;
    /** Milliseconds since the store last confirmed the list. */
    ageMs(): number;
}
