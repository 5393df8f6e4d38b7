import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { SidecarPort } from "@auburnarch/types/SidecarPort";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";

/** A sampler in memory that fences, swaps and stamps as a real one does. */
export interface TestSidecar {
    port: SidecarPort;
    view(): SamplerView;
    served(): WeightVersion;
    /** Engine time spent so far. */
    engineMs(): number;
    /** Sample attempts that were started. */
    started(): number;
    /** Attempts refused for an old fencing number. */
    fenced(): number;
    /** The next `count` answers are complete but carry no spans. */
    returnEmptyAnswers(count: number): void;
}
