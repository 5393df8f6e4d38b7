import { z } from "zod";
import { nameSchema } from "./nameSchema.js";

const maxCount = 1_000_000;
const maxDurationMs = 24 * 3_600_000;
const digestPattern = /^[0-9a-f]{64}$/u;
const repeatablePattern = /^(GET|HEAD|OPTIONS|PUT|DELETE|POST|PATCH) \/[!-~]*$/u;

const count = z.int().min(1).max(maxCount);
const ratio = z.number().min(0).max(1);
const durationMs = z.int().min(1).max(maxDurationMs);

const team = z.strictObject({
    team: nameSchema,
    share: ratio,
    tokenDigests: z.array(
        z.string().regex(digestPattern, "Expected a SHA-256 digest: 64 lower-case hex digits."),
    ).min(1),
});

const service = z.strictObject({
    service: nameSchema,
    kind: z.enum(["rollout", "plain"]),
    repeatable: z.array(
        z.string().regex(repeatablePattern, "Expected `METHOD /prefix`, such as `GET /tiles`."),
    ).default([]),
});

const sampler = z.strictObject({ sampler: nameSchema, service: nameSchema, failureDomain: nameSchema });

const job = z.strictObject({
    job: nameSchema,
    team: nameSchema,
    service: nameSchema,
    policy: nameSchema,
    scoring: nameSchema,
    groupSize: count.max(1_024),
    samplesPerStep: count,
    maxStalenessVersions: z.int().min(0).max(1_000),
    stepNeedMs: durationMs,
    priority: z.int().min(1).max(10).default(5),
    freshnessWeight: ratio.default(0.5),
});

const limits = z.strictObject({
    maxBodyBytes: z.int().min(1).max(1 << 28).optional(),
    maxQueuedPerTeam: count.optional(),
    defaultDeadlineMs: durationMs.optional(),
    retryBudgetRatio: ratio.optional(),
    maxSwappingRatio: z.number().gt(0).max(1).optional(),
    interactiveWaitMs: z.int().min(0).max(maxDurationMs).optional(),
});

/** Schema of a manifest as the pipeline writes it; `checkReferences` checks constraints between its parts. */
export const manifestSchema = z.strictObject({
    name: nameSchema,
    teams: z.array(team).min(1),
    services: z.array(service).min(1),
    samplers: z.array(sampler).default([]),
    jobs: z.array(job).default([]),
    limits: limits.default({}),
});
