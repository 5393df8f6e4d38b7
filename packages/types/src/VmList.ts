import type { VmRecord } from "./VmRecord.js";

/** Reads the platform's list of live and leaving VMs, which may be out of date. Rejects with `vmListUnavailable`. */
export type VmList = () => Promise<VmRecord[]>;
