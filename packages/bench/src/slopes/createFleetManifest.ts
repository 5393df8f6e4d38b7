import type { Manifest } from "@auburnarch/types/Manifest";
import { createHash } from "node:crypto";

const places = ["Pamplona", "Lugo", "Burgos", "Bilbao", "Caerdydd", "Abertawe"];
const minJobs = 1;

/** Creates a valid manifest with the given numbers of samplers and jobs; manifests with different `priority` differ. */
export function createFleetManifest(samplers: number, jobs: number, priority: number): Manifest {
    const tokenDigests = [createHash("sha256").update("bench").digest("hex")];
    return {
        name: "slopes",
        teams: [{ team: "team-1", share: 1, tokenDigests }],
        services: [{ service: "rollouts", kind: "rollout", repeatable: [] }],
        samplers: Array.from({ length: samplers }, (_, at) => ({
            sampler: `rollout-${at}`,
            service: "rollouts",
            failureDomain: places[at % places.length],
        })),
        jobs: Array.from({ length: Math.max(minJobs, jobs) }, (_, at) => ({
            job: `job-${at}`,
            team: "team-1",
            service: "rollouts",
            policy: `policy-${at}`,
            scoring: "score",
            groupSize: 8,
            samplesPerStep: 2_048,
            maxStalenessVersions: 2,
            stepNeedMs: 360_000,
            priority: at === 0 ? priority : 5,
            freshnessWeight: 0.5,
        })),
        limits: {},
    } as unknown as Manifest;
}
