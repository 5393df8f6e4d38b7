import type { PolicyId } from "@auburnarch/types/PolicyId";
import type { SampleId } from "@auburnarch/types/SampleId";
import type { StepNumber } from "@auburnarch/types/StepNumber";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { z } from "zod";
import type { BatchJobId } from "./BatchJobId.js";

const count = z.number().int().nonnegative();
const version = count.transform(value => value as WeightVersion);
const policy = z.string().transform(value => value as PolicyId).optional();
const team = z.string().transform(value => value as TeamId).optional();
const sample = z.string().transform(value => value as SampleId);
const reward = z.object({
    requestId: z.string(),
    host: z.string(),
    path: z.string(),
    bodyBase64: z.string(),
});

const item = z.object({
    item: sample,
    group: z.string().optional(),
    path: z.string(),
    headers: z.record(z.string(), z.string()),
    bodyBase64: z.string(),
    maxOutputTokens: z.number(),
    expectedOutputTokens: z.number().optional(),
    reward: reward.optional(),
}).transform(value => ({
    ...value,
    group: value.group,
    expectedOutputTokens: value.expectedOutputTokens,
    reward: value.reward,
}));

const chunk = z.object({
    from: count,
    writer: z.string(),
    results: z.array(
        z.object({
            item: sample,
            state: z.enum(["completed", "terminated"]),
            output: z.string(),
            versions: z.array(version),
            score: z.string().optional(),
        }).transform(value => ({ ...value, score: value.score })),
    ),
});

/** Schemas of batch jobs in the store and of the messages in which runners report results. */
export const batchJobSchemas = {
    entry: z.object({
        total: count,
        team,
        submittedAtMs: z.number(),
        policy,
        expectedTokens: z.number().nonnegative().optional(),
        isEnded: z.boolean(),
    }).transform(value => ({
        ...value,
        team: value.team,
        policy: value.policy,
        expectedTokens: value.expectedTokens,
    })),
    batchJob: z.object({
        lot: z.string().transform(value => value as BatchJobId),
        team,
        host: z.string(),
        path: z.string(),
        step: count.transform(value => value as StepNumber),
        policy,
        minVersion: version,
        neededGroups: count.optional(),
        items: z.array(item),
    }).transform(value => ({
        ...value,
        team: value.team,
        policy: value.policy,
        neededGroups: value.neededGroups,
    })),
    chunk,
    /** A gateway's query to a runner. */
    resultsQuery: z.object({
        lot: z.string().transform(value => value as BatchJobId),
        fromChunk: count,
        waitMs: z.number().nonnegative(),
    }),
    /** A runner's answer; see `ResultsAnswer`. */
    resultsAnswer: z.discriminatedUnion("kind", [
        z.object({
            kind: z.literal("known"),
            total: count,
            team,
            chunks: z.array(chunk),
            hasMore: z.boolean(),
        }).transform(value => ({ ...value, team: value.team })),
        z.object({ kind: z.literal("elsewhere"), runner: z.string() }),
        z.object({ kind: z.literal("unsure") }),
    ]),
};
