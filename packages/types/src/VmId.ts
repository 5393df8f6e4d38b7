import type { Brand } from "./Brand.js";

/** Name of a VM as in the VM list. */
export type VmId = Brand<string, "VmId">;
