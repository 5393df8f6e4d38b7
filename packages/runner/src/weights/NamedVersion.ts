import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** The newest version of a policy that its trainer has named. */
export interface NamedVersion {
    version: WeightVersion;
}
