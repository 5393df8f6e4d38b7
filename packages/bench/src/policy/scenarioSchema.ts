import { z } from "zod";

const positive = z.number().positive();
const whole = z.number().int().nonnegative();
const ratio = z.number().min(0).max(1);

const samplersSchema = z.strictObject({
    count: z.number().int().positive(),
    /** Tokens per second of a generation that runs alone. */
    tokensPerSecond: positive.default(100),
    maxBatch: z.number().int().positive().default(16),
    /** Fraction by which each further generation in the batch slows all of them. */
    batchSlowdown: z.number().nonnegative().default(0.02),
    prefillTokensPerSecond: positive.default(5_000),
    /** Capacity of the prefix cache. */
    cacheTokens: whole.default(20_000),
    /** Time for which generations pause while weights are loaded. */
    swapMs: whole.default(1_000),
});

const lengthSchema = z.strictObject({
    medianTokens: positive,
    /** Standard deviation of the logarithm of the length between prompts. */
    promptSigma: z.number().nonnegative().default(0.4),
    /** Standard deviation of the logarithm of the length between samples of one prompt. */
    sampleSigma: z.number().nonnegative().default(0.3),
    /** Fraction of the samples that are stragglers. */
    stragglerRatio: ratio.default(0),
    /** Factor by which a straggler is longer. */
    stragglerFactor: z.number().min(1).default(10),
    /** Fraction of the prompts that are hard. */
    hardPromptRatio: ratio.default(0.1),
    /** Fraction of the stragglers that belong to hard prompts. */
    hardPromptShare: ratio.default(0.7),
    maxTokens: z.number().int().positive().default(8_192),
});

const jobSchema = z.strictObject({
    job: z.string().min(1),
    team: z.string().min(1),
    groupSize: z.number().int().positive().default(8),
    samplesPerStep: z.number().int().positive(),
    steps: z.number().int().min(2),
    /** Number of steps opened before the trainer needs them. */
    stepsAhead: whole.default(1),
    maxStalenessVersions: whole.default(4),
    /** Training time of a step once all its samples are delivered. */
    trainerMs: positive,
    /** Versions published during each step, evenly spaced, with the last one at its end. */
    publishesPerStep: z.number().int().positive().default(1),
    stepNeedMs: positive.default(60_000),
    priority: z.number().int().min(1).max(10).default(5),
    freshnessWeight: ratio.default(0.5),
    startMs: whole.default(0),
    promptTokens: z.number().int().positive().default(256),
    /** Number of leading tokens that all prompts of the job share. */
    sharedPromptTokens: whole.default(0),
    /** Number of distinct prompts, which recur as in training over several epochs. */
    distinctPrompts: z.number().int().positive().default(200),
    length: lengthSchema,
});

const faultSchema = z.discriminatedUnion("kind", [
    /** The engine crashes and restarts without weights after `downMs`. */
    z.strictObject({ kind: z.literal("engineCrash"), atMs: whole, sampler: whole, downMs: positive }),
    /** The VM fails permanently. */
    z.strictObject({ kind: z.literal("vmLost"), atMs: whole, sampler: whole }),
    /** The VM freezes for `forMs`: it sends no answers and no reports, then it continues. */
    z.strictObject({ kind: z.literal("freeze"), atMs: whole, sampler: whole, forMs: positive }),
    /** The next load order after `atMs` fails and leaves the old weights in place. */
    z.strictObject({ kind: z.literal("swapFailure"), atMs: whole, sampler: whole }),
]);

/** A policy scenario as given in a file. All durations are in milliseconds of the fake clock. */
export const scenarioSchema = z.strictObject({
    name: z.string().min(1),
    description: z.string().min(1),
    samplers: z.array(samplersSchema).min(1),
    /** Guaranteed fraction of engine time by team; they add up to at most 1. */
    shares: z.record(z.string(), ratio),
    jobs: z.array(jobSchema).min(1),
    /** Load of interactive completions on the same samplers. */
    interactive: z.strictObject({
        team: z.string().min(1),
        requestsPerSecond: positive,
        medianTokens: positive,
        sigma: z.number().nonnegative().default(0.3),
    }).optional(),
    reports: z.strictObject({
        intervalMs: positive.default(500),
        /** Delay of a report. */
        lagMs: whole.default(50),
        /** Fraction of the reports that are lost. */
        lossRatio: ratio.default(0),
    }).prefault({}),
    network: z.strictObject({ delayMs: z.number().nonnegative().default(0.5) }).prefault({}),
    weightStore: z.strictObject({
        transferMs: positive.default(2_000),
        maxConcurrent: z.number().int().positive().default(4),
    }).prefault({}),
    limits: z.strictObject({
        maxSwappingRatio: ratio.default(0.34),
        interactiveWaitMs: positive.default(250),
        maxQueuedPerTeam: z.number().int().positive().default(1_000),
        retryBudgetRatio: ratio.default(0.1),
    }).prefault({}),
    faults: z.array(faultSchema).default([]),
    /** Interval at which running generations emit tokens. */
    chunkMs: positive.default(1_000),
    /** The run is stopped after this time. */
    maxMs: positive.default(3_600_000),
});
