import type { Brand } from "./Brand.js";

/** Name of a VM as the VM list gives it. */
export type VmId = Brand<string, "VmId">;
