import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { StepStatus } from "./StepStatus.js";

/** State of one service while the steps of late trainers get priority there. */
export interface ServicePicture {
    serving: RegisteredSampler[];
    /** Open steps of this runner and of its peers, each once. */
    steps: StepStatus[];
    relieved: ReadonlySet<IncarnationId>;
    /** Newest version of each policy that any of the samplers has loaded. */
    newestVersions: ReadonlyMap<PolicyId, number>;
    eventsPerSecond: ReadonlyMap<IncarnationId, number>;
}
