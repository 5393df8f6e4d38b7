import { createHash } from "node:crypto";
import { maxQueuedPerTeam } from "./maxQueuedPerTeam.js";

const tokenDigest = createHash("sha256").update("bench-token").digest("hex");

/** Creates the manifest of a run; manifests with different `variant` differ. */
export function createManifest(variant: number): Record<string, unknown> {
    return {
        name: "bench",
        teams: [{ team: "humoboira", share: 1, tokenDigests: [tokenDigest] }],
        services: [
            { service: "rollout", kind: "rollout", repeatable: [] },
            { service: "tiles", kind: "plain", repeatable: ["GET /tiles"] },
        ],
        samplers: [],
        jobs: [{
            job: "plume",
            team: "humoboira",
            service: "rollout",
            policy: "plume",
            scoring: "score",
            groupSize: 2,
            samplesPerStep: 8,
            maxStalenessVersions: 1,
            stepNeedMs: 20_000 + variant,
            priority: 5,
            freshnessWeight: 0.5,
        }],
        limits: {
            maxQueuedPerTeam,
            defaultDeadlineMs: 5_000,
            retryBudgetRatio: 0.5,
            maxSwappingRatio: 0.5,
            interactiveWaitMs: 100,
        },
    };
}
