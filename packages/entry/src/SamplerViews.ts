import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";

/** What this entry knows of samplers, reports and its own sends taken together. */
export interface SamplerViews {
    /** Samplers of a service that may get work; leaving ones are left out. */
    list(service: ServiceId): SamplerView[];
    /** All samplers, leaving ones too, for operators. */
    listAll(): SamplerView[];
    /** A sidecar whose sends are counted into the views. */
    sidecar(sampler: SamplerId): SidecarPort;
    /** Attempts of this entry that are in flight anywhere. */
    inFlight(): number;
}
