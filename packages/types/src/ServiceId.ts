import type { Brand } from "./Brand.js";

/** Name of a service in the manifest, either a rollout model or a plain service. */
export type ServiceId = Brand<string, "ServiceId">;
