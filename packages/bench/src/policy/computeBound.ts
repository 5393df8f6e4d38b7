import type { Scenario } from "./Scenario.js";
import type { Workload } from "./Workload.js";

/** Idle ratios and step times that a policy with perfect knowledge would reach. */
interface Bound {
    /** By job, in the order of the scenario. */
    jobs: { idleRatio: number; stepMs: number[]; }[];
}

interface FluidStep {
    openedAtMs: number;
    leftTokens: number;
    /** Time at which the longest sample would end if it ran alone on the fastest sampler. */
    earliestEndMs: number;
    endMs: number | undefined;
}

interface FluidJob {
    share: number;
    steps: FluidStep[];
    /** Index of the step that the trainer waits for or trains on. */
    at: number;
    /** End of the current training; undefined while the trainer waits. */
    trainingEndMs: number | undefined;
    waitingSinceMs: number;
    idleMs: number;
    startMs: number;
    firstTrainedMs: number | undefined;
    endMs: number | undefined;
}

const secondMs = 1_000;
const tolerance = 1e-6;

function tokensPerMsAt(scenario: Scenario, nowMs: number): number {
    const isDown = (sampler: number): boolean =>
        scenario.faults.some(fault =>
            fault.sampler === sampler && fault.atMs <= nowMs
            && (fault.kind === "vmLost"
                || (fault.kind === "engineCrash" && nowMs < fault.atMs + fault.downMs)
                || (fault.kind === "freeze" && nowMs < fault.atMs + fault.forMs))
        );
    const all = scenario.samplers.flatMap(group => Array.from({ length: group.count }, () => group));
    return all.reduce((sum, sampler, index) => {
        const speed = sampler.tokensPerSecond / (1 + sampler.batchSlowdown * (sampler.maxBatch - 1));
        return isDown(index) ? sum : sum + speed * sampler.maxBatch / secondMs;
    }, 0);
}

function openSteps(
    job: FluidJob,
    scenario: Scenario,
    index: number,
    workload: Workload,
    nowMs: number,
): void {
    const { stepsAhead } = scenario.jobs[index]!;
    const soloPerMs = Math.max(...scenario.samplers.map(group => group.tokensPerSecond)) / secondMs;
    const drawn = workload.jobs[index]!.steps;
    while (job.steps.length < Math.min(drawn.length, job.at + stepsAhead + 1)) {
        const step = drawn[job.steps.length]!;
        job.steps.push({
            openedAtMs: nowMs,
            leftTokens: step.totalTokens,
            earliestEndMs: nowMs + step.longestTokens / soloPerMs,
            endMs: undefined,
        });
    }
}

/**
 * Tokens per millisecond of each job's oldest unfinished step: capacity is divided by share among the jobs with work.
 */
function computeRates(jobs: FluidJob[], capacity: number): Map<FluidStep, number> {
    const busy = jobs.flatMap(job => {
        const step = job.steps.find(open => open.leftTokens > tolerance);
        return step === undefined ? [] : [{ step, share: Math.max(0.001, job.share) }];
    });
    const shares = busy.reduce((sum, { share }) => sum + share, 0);
    return new Map(busy.map(({ step, share }) => [step, capacity * share / shares]));
}

function settleStep(step: FluidStep, nowMs: number): void {
    if (step.endMs === undefined && step.leftTokens <= tolerance && step.earliestEndMs <= nowMs + tolerance) {
        step.endMs = nowMs;
    }
}

/** Advances the trainer if possible; returns whether anything changed. */
function settleTrainer(job: FluidJob, trainerMs: number, nowMs: number): boolean {
    const step = job.steps[job.at];
    if (job.endMs !== undefined || step === undefined) {
        return false;
    }
    if (job.trainingEndMs === undefined && step.endMs !== undefined) {
        job.idleMs += job.at === 0 ? 0 : nowMs - job.waitingSinceMs;
        job.firstTrainedMs ??= nowMs;
        job.trainingEndMs = nowMs + trainerMs;
        return true;
    }
    if (job.trainingEndMs !== undefined && job.trainingEndMs <= nowMs + tolerance) {
        job.at++;
        job.waitingSinceMs = nowMs;
        job.trainingEndMs = undefined;
        return true;
    }
    return false;
}

function nextEventMs(
    jobs: FluidJob[],
    rateOf: Map<FluidStep, number>,
    scenario: Scenario,
    nowMs: number,
): number {
    const times: number[] = scenario.faults.flatMap(fault => [
        fault.atMs,
        fault.kind === "engineCrash" ? fault.atMs + fault.downMs : 0,
        fault.kind === "freeze" ? fault.atMs + fault.forMs : 0,
    ]);
    for (const job of jobs) {
        times.push(job.startMs, job.trainingEndMs ?? 0);
        for (const step of job.steps) {
            const rate = rateOf.get(step);
            times.push(step.endMs === undefined ? step.earliestEndMs : 0);
            times.push(rate === undefined ? 0 : nowMs + step.leftTokens / rate);
        }
    }
    return Math.min(...times.filter(time => time > nowMs + tolerance));
}

function settleAll(jobs: FluidJob[], scenario: Scenario, workload: Workload, nowMs: number): void {
    let isChanged = true;
    while (isChanged) {
        isChanged = false;
        jobs.forEach((job, index) => {
            if (nowMs + tolerance < job.startMs) {
                return;
            }
            openSteps(job, scenario, index, workload, nowMs);
            job.steps.forEach(step => settleStep(step, nowMs));
            isChanged = settleTrainer(job, scenario.jobs[index]!.trainerMs, nowMs) || isChanged;
            if (job.at >= workload.jobs[index]!.steps.length) {
                job.endMs ??= nowMs;
            }
        });
    }
}

/**
 * Computes the bound with a fluid model: all samplers run at full batch speed, capacity is divided by the teams'
 * guaranteed shares and unused capacity is lent without loss, each step takes at least as long as its longest sample
 * alone on the fastest sampler, and no time is lost to swaps, queues, network or prompts. For a single job no policy
 * can do better; for several jobs this is the fair ideal. Staleness does not limit this model: a step is opened at most
 * `stepsAhead` steps early, which the staleness bounds of the shipped scenarios allow.
 */
export function computeBound(scenario: Scenario, workload: Workload): Bound {
    const jobs = scenario.jobs.map((job): FluidJob => ({
        share: scenario.shares[job.team] ?? 0,
        steps: [],
        at: 0,
        trainingEndMs: undefined,
        waitingSinceMs: job.startMs,
        idleMs: 0,
        startMs: job.startMs,
        firstTrainedMs: undefined,
        endMs: undefined,
    }));
    let nowMs = 0;
    settleAll(jobs, scenario, workload, nowMs);
    while (jobs.some(job => job.endMs === undefined)) {
        const rateOf = computeRates(jobs, tokensPerMsAt(scenario, nowMs));
        const nextMs = nextEventMs(jobs, rateOf, scenario, nowMs);
        if (!Number.isFinite(nextMs)) {
            throw new Error("the bound cannot be computed: no sampler capacity is left");
        }
        rateOf.forEach((rate, step) => {
            step.leftTokens = Math.max(0, step.leftTokens - rate * (nextMs - nowMs));
        });
        nowMs = nextMs;
        settleAll(jobs, scenario, workload, nowMs);
    }
    return {
        jobs: jobs.map(job => ({
            idleRatio: job.idleMs / Math.max(1, job.endMs! - job.firstTrainedMs!),
            stepMs: job.steps.map(step => step.endMs! - step.openedAtMs),
        })),
    };
}
