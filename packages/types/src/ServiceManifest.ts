import type { ServiceId } from "./ServiceId.js";

/** A service. `repeatable` lists `METHOD /path-prefix` of a plain service's calls that may be repeated. */
export interface ServiceManifest {
    service: ServiceId;
    kind: "rollout" | "plain";
    repeatable: string[];
}
