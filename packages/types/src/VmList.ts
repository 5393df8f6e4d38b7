import type { VmRecord } from "./VmRecord.js";

/** The platform's list of live and leaving VMs; lags behind the truth. Rejects with code `vmListUnavailable`. */
export type VmList = () => Promise<VmRecord[]>;
