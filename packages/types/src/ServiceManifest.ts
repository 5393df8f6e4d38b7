import type { ServiceId } from "./ServiceId.js";

/** A service. `repeatable` lists the calls of a plain service that may be repeated, as `METHOD /path-prefix`. */
export interface ServiceManifest {
    service: ServiceId;
    kind: "rollout" | "plain";
    repeatable: string[];
}
