import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** An in-memory sampler that checks fencing, swaps weights and records versions like a real one. */
export interface TestSidecar {
    port: SidecarPort;
    view(): SamplerView;
    served(): WeightVersion;
    /** Engine time spent so far. */
    engineMs(): number;
    /** Sample attempts that were started. */
    started(): number;
    /** Attempts and orders refused for an outdated fencing number. */
    fenced(): number;
    /** The next `count` answers are complete but carry no spans. */
    returnEmptyAnswers(count: number): void;
}
