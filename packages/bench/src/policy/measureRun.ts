import { compareDistributions } from "./compareDistributions.js";
import { computeBound } from "./computeBound.js";
import type { createInteractiveLoad } from "./createInteractiveLoad.js";
import type { EngineMeter } from "./EngineMeter.js";
import type { JobMeasures } from "./JobMeasures.js";
import { meanOf } from "./meanOf.js";
import { quantile } from "./quantile.js";
import type { RunResult } from "./RunResult.js";
import type { Scenario } from "./Scenario.js";
import type { Workload } from "./Workload.js";

interface RunRecord {
    scenario: Scenario;
    workload: Workload;
    policy: string;
    seed: number;
    jobs: JobMeasures[];
    use: ReturnType<EngineMeter["read"]>;
    interactive: Pick<ReturnType<typeof createInteractiveLoad>, "latenciesMs" | "failed">;
    interactiveAloneMsP99: number;
    shareError: number;
    violations: number;
    runMs: number;
}

/** Cost of reading a token again, as a fraction of the cost of generating it. */
function replayCost(scenario: Scenario): number {
    const { tokensPerSecond, prefillTokensPerSecond } = scenario.samplers[0]!;
    return tokensPerSecond / prefillTokensPerSecond;
}

function measureOverhead(record: RunRecord, deliveredTokens: number): number {
    const { sampleTokens, replayedTokens } = record.use;
    const replayed = replayedTokens * replayCost(record.scenario);
    return sampleTokens === 0 ? 0 : 1 - deliveredTokens / (sampleTokens + replayed);
}

function sampleEngineMs(record: RunRecord): number {
    return [...record.use.engineMsOf]
        .filter(([owner]) => owner !== "interactive")
        .reduce((sum, [, engineMs]) => sum + engineMs, 0);
}

/** Computes the measures of a run from its records. */
export function measureRun(record: RunRecord): RunResult {
    const { scenario, workload, jobs } = record;
    const versions = jobs.flatMap(job => job.stalenessVersions);
    const staleMs = jobs.flatMap(job => job.stalenessMs);
    const stepMs = jobs.flatMap(job => job.stepMs);
    const deliveredLengths = jobs.flatMap(job => job.deliveredTokens);
    const lengths = compareDistributions([...workload.tokensOf.values()], deliveredLengths);
    const bound = computeBound(scenario, workload);
    const boundStepMs = bound.jobs.flatMap(job => job.stepMs);
    const delivered = jobs.reduce((sum, job) => sum + job.delivered, 0);
    return {
        scenario: scenario.name,
        policy: record.policy,
        seed: record.seed,
        isFinished: jobs.every(job => job.isFinished),
        idleRatio: meanOf(jobs.map(job => job.idleMs / Math.max(1, job.spanMs))),
        stalenessVersionsMean: meanOf(versions),
        stalenessVersionsP99: quantile(versions, 0.99),
        stalenessVersionsMax: quantile(versions, 1),
        stalenessMsMean: meanOf(staleMs),
        stalenessMsP99: quantile(staleMs, 0.99),
        stalenessMsMax: quantile(staleMs, 1),
        overBound: jobs.reduce((sum, job) => sum + job.overBound, 0),
        stepMsP50: quantile(stepMs, 0.5),
        stepMsP99: quantile(stepMs, 0.99),
        interactiveMsP99: quantile(record.interactive.latenciesMs, 0.99),
        interactiveAloneMsP99: record.interactiveAloneMsP99,
        interactiveFailed: record.interactive.failed(),
        engineMsPerSample: sampleEngineMs(record) / Math.max(1, delivered),
        overheadRatio: measureOverhead(record, deliveredLengths.reduce((sum, tokens) => sum + tokens, 0)),
        shareError: record.shareError,
        lengthStatistic: lengths.statistic,
        isLengthBiased: lengths.isDifferent,
        boundIdleRatio: meanOf(bound.jobs.map(job => job.idleRatio)),
        boundStepMsP50: quantile(boundStepMs, 0.5),
        boundStepMsP99: quantile(boundStepMs, 0.99),
        waitedMs: jobs.map(job => job.waitedMs.map(Math.round)),
        violations: record.violations,
        runMs: record.runMs,
    };
}
