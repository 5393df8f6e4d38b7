import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";

/** This entry's view of the samplers: their reports combined with its own sends. */
export interface SamplerViews {
    /** Samplers of a service that can receive work; those that are leaving are excluded. */
    list(service: ServiceId): SamplerView[];
    /** All samplers, including those that are leaving, for operators. */
    listAll(): SamplerView[];
    /** Returns the sampler's sidecar; sends to it are counted in the views. */
    sidecar(sampler: SamplerId): SidecarPort;
    /** Number of this entry's attempts in flight at all samplers. */
    inFlight(): number;
}
