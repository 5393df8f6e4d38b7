import type { Brand } from "./Brand.js";

/** Name of a service (rollout model or plain service) of the manifest. */
export type ServiceId = Brand<string, "ServiceId">;
