import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { RunnerStatus } from "../peers/RunnerStatus.js";
import type { SamplerUse } from "./SamplerUse.js";

/** Priority for steps of late trainers, as one runner sees it. */
export interface Lateness {
    /** What peers are told of this runner's steps and of the samplers it observes. */
    status(): Pick<RunnerStatus, "steps" | "paces">;
    /** How far a policy's trainer is behind schedule; 0 unless its steps get priority. */
    latenessMs(policy: PolicyId): number;
    /** Number of further items of a policy that a sampler may get now, so that slots are left to other steps. */
    adjustRoom(policy: PolicyId, sampler: IncarnationId, use: SamplerUse): number;
    /** Expected events per second of one run there; undefined if nothing is known of it. */
    eventsPerSecond(sampler: IncarnationId): number | undefined;
}
