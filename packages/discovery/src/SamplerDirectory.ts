import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { RegisteredSampler } from "./RegisteredSampler.js";

/** The samplers that may get new work now. */
export interface SamplerDirectory {
    /** False until the samplers were listed once. */
    isKnown(): boolean;
    /** Those of a service that neither drain nor are gone. */
    serving(service: ServiceId): RegisteredSampler[];
    find(incarnation: IncarnationId): RegisteredSampler | undefined;
    /** False for one whose entry is missing and that is kept until it can have registered again. */
    isListed(incarnation: IncarnationId): boolean;
    /** Milliseconds since the list was confirmed. */
    ageMs(): number;
}
