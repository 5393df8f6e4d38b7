import type { JobManifest } from "./JobManifest.js";
import type { LimitsManifest } from "./LimitsManifest.js";
import type { SamplerManifest } from "./SamplerManifest.js";
import type { ServiceManifest } from "./ServiceManifest.js";
import type { TeamManifest } from "./TeamManifest.js";

/** The complete configuration that the operators want; validated as a whole and published as one object. */
export interface Manifest {
    name: string;
    teams: TeamManifest[];
    services: ServiceManifest[];
    samplers: SamplerManifest[];
    jobs: JobManifest[];
    limits: LimitsManifest;
}
