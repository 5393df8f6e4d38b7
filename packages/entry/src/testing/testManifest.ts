/** Creates a small manifest as written by an operator, without defaults, with one job for each of two teams. */
export function testManifest(name: string, tokenDigests: { plume: string; ridge: string; }): unknown {
    const jobOf = (job: string, team: string) => ({
        job,
        team,
        service: "rollouts",
        policy: team,
        scoring: "air",
        groupSize: 2,
        samplesPerStep: 4,
        maxStalenessVersions: 1,
        stepNeedMs: 10_000,
    });
    return {
        name,
        teams: [
            { team: "plume", share: 0.5, tokenDigests: [tokenDigests.plume] },
            { team: "ridge", share: 0.5, tokenDigests: [tokenDigests.ridge] },
        ],
        services: [
            { service: "rollouts", kind: "rollout" },
            { service: "tiles", kind: "plain", repeatable: ["GET /tiles"] },
        ],
        samplers: [
            { sampler: "rollout-1", service: "rollouts", failureDomain: "Lugo" },
            { sampler: "tile-1", service: "tiles", failureDomain: "Lugo" },
        ],
        jobs: [jobOf("forecast", "plume"), jobOf("estimates", "ridge")],
    };
}
