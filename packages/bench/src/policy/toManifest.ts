import type { ConfigVersion } from "@auburnarch/types/ConfigVersion";
import type { JobId } from "@auburnarch/types/JobId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { VersionedManifest } from "@auburnarch/types/VersionedManifest";
import { policyOf } from "./policyOf.js";
import type { Scenario } from "./Scenario.js";

const service = "rollout" as ServiceId;

/** Creates the manifest of a scenario. */
export function toManifest(scenario: Scenario): VersionedManifest {
    return {
        version: 1 as ConfigVersion,
        manifest: {
            name: scenario.name,
            teams: Object.entries(scenario.shares)
                .map(([team, share]) => ({ team: team as TeamId, share, tokenDigests: [] })),
            services: [{ service, kind: "rollout", repeatable: [] }],
            samplers: [],
            jobs: scenario.jobs.map(job => ({
                job: job.job as JobId,
                team: job.team as TeamId,
                service,
                policy: policyOf(job.job),
                scoring: "none",
                groupSize: job.groupSize,
                samplesPerStep: job.samplesPerStep,
                maxStalenessVersions: job.maxStalenessVersions,
                stepNeedMs: job.stepNeedMs,
                priority: job.priority,
                freshnessWeight: job.freshnessWeight,
            })),
            limits: { maxBodyBytes: 1_048_576, defaultDeadlineMs: 60_000, ...scenario.limits },
        },
    };
}
