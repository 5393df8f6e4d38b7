import { z } from "zod";

const positive = z.number().positive();
const whole = z.number().int().nonnegative();
const ratio = z.number().min(0).max(1);

const samplersSchema = z.strictObject({
    count: z.number().int().positive(),
    /** Tokens a second of one generation alone. */
    tokensPerSecond: positive.default(100),
    maxBatch: z.number().int().positive().default(16),
    /** Each further generation in the batch slows all by this part. */
    batchSlowdown: z.number().nonnegative().default(0.02),
    prefillTokensPerSecond: positive.default(5_000),
    /** Memory of the prefix cache. */
    cacheTokens: whole.default(20_000),
    /** Generations stand still so long while weights are loaded. */
    swapMs: whole.default(1_000),
});

const lengthSchema = z.strictObject({
    medianTokens: positive,
    /** Standard deviation of the logarithm between prompts. */
    promptSigma: z.number().nonnegative().default(0.4),
    /** Standard deviation of the logarithm between samples of one prompt. */
    sampleSigma: z.number().nonnegative().default(0.3),
    /** Part of the samples that are stragglers. */
    stragglerRatio: ratio.default(0),
    /** How many times longer a straggler is. */
    stragglerFactor: z.number().min(1).default(10),
    /** Part of the prompts that are hard. */
    hardPromptRatio: ratio.default(0.1),
    /** Part of the stragglers that fall on hard prompts. */
    hardPromptShare: ratio.default(0.7),
    maxTokens: z.number().int().positive().default(8_192),
});

const jobSchema = z.strictObject({
    job: z.string().min(1),
    team: z.string().min(1),
    groupSize: z.number().int().positive().default(8),
    samplesPerStep: z.number().int().positive(),
    steps: z.number().int().min(2),
    /** Steps opened before the trainer needs them. */
    stepsAhead: whole.default(1),
    maxStalenessVersions: whole.default(4),
    /** Time the trainer takes for a step once it has it whole. */
    trainerMs: positive,
    /** Versions published during each step, evenly spaced, the last at its end. */
    publishesPerStep: z.number().int().positive().default(1),
    stepNeedMs: positive.default(60_000),
    priority: z.number().int().min(1).max(10).default(5),
    freshnessWeight: ratio.default(0.5),
    startMs: whole.default(0),
    promptTokens: z.number().int().positive().default(256),
    /** Leading tokens of the prompt that all prompts of the job share. */
    sharedPromptTokens: whole.default(0),
    /** Prompts are drawn in turn from so many, as in training over several epochs. */
    distinctPrompts: z.number().int().positive().default(200),
    length: lengthSchema,
});

const faultSchema = z.discriminatedUnion("kind", [
    /** The engine dies and comes back empty-handed after `downMs`. */
    z.strictObject({ kind: z.literal("engineCrash"), atMs: whole, sampler: whole, downMs: positive }),
    /** The VM is gone for good. */
    z.strictObject({ kind: z.literal("vmLost"), atMs: whole, sampler: whole }),
    /** The VM stands still: no answers, no reports, then it goes on. */
    z.strictObject({ kind: z.literal("freeze"), atMs: whole, sampler: whole, forMs: positive }),
    /** The next load order after `atMs` fails and leaves the old weights. */
    z.strictObject({ kind: z.literal("swapFailure"), atMs: whole, sampler: whole }),
]);

/** A policy scenario as given in a file. Every duration is in milliseconds of the fake clock. */
export const scenarioSchema = z.strictObject({
    name: z.string().min(1),
    description: z.string().min(1),
    samplers: z.array(samplersSchema).min(1),
    /** Guaranteed part of engine time by team; 1 together at most. */
    shares: z.record(z.string(), ratio),
    jobs: z.array(jobSchema).min(1),
    /** Interactive completions on the same samplers. */
    interactive: z.strictObject({
        team: z.string().min(1),
        requestsPerSecond: positive,
        medianTokens: positive,
        sigma: z.number().nonnegative().default(0.3),
    }).optional(),
    reports: z.strictObject({
        intervalMs: positive.default(500),
        /** How late a report arrives. */
        lagMs: whole.default(50),
        /** Part of the reports that are lost. */
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
    /** Interval at which running generations emit what they made. */
    chunkMs: positive.default(1_000),
    /** The run is given up after so long. */
    maxMs: positive.default(3_600_000),
});
