import { digestToken } from "./digestToken.js";

const failureDomains = ["Pamplona", "Lugo", "Burgos", "Bilbao"];
const rolloutSamplers = 6;
const plainSamplers = 4;

const samplersOf = (prefix: string, service: string, count: number) =>
    Array.from({ length: count }, (_, index) => ({
        sampler: `${prefix}-${index + 1}`,
        service,
        failureDomain: failureDomains[index % failureDomains.length]!,
    }));

/** Default manifest of `standalone`: two jobs share six engines, and a plain service serves smoke-map tiles. */
export function demoManifest(tokens: { plume: string; ridge: string; }): unknown {
    return {
        name: "demo",
        teams: [
            { team: "plume", share: 0.6, tokenDigests: [digestToken(tokens.plume)] },
            { team: "ridge", share: 0.4, tokenDigests: [digestToken(tokens.ridge)] },
        ],
        services: [
            { service: "rollouts", kind: "rollout" },
            { service: "tiles", kind: "plain", repeatable: ["GET /tiles"] },
        ],
        samplers: [
            ...samplersOf("rollout", "rollouts", rolloutSamplers),
            ...samplersOf("tile", "tiles", plainSamplers),
        ],
        jobs: [
            {
                job: "plume-forecast",
                team: "plume",
                service: "rollouts",
                policy: "plume",
                scoring: "air-quality",
                groupSize: 8,
                samplesPerStep: 64,
                maxStalenessVersions: 1,
                stepNeedMs: 8_000,
                freshnessWeight: 0.8,
            },
            {
                job: "ridge-estimates",
                team: "ridge",
                service: "rollouts",
                policy: "ridge",
                scoring: "survey",
                groupSize: 4,
                samplesPerStep: 32,
                maxStalenessVersions: 2,
                stepNeedMs: 8_000,
                freshnessWeight: 0.2,
            },
        ],
    };
}
