import { createRandom } from "@auburnarch/clock/createRandom";
import type { Random } from "@auburnarch/types/Random";
import { drawNormal } from "./drawNormal.js";
import type { Scenario } from "./Scenario.js";
import type { Workload } from "./Workload.js";

type JobScenario = Scenario["jobs"][number];

interface Prompt {
    text: string;
    medianTokens: number;
    stragglerRatio: number;
}

const charsPerToken = 4;
const minTokens = 8;
const secondMs = 1_000;

function fill(label: string, tokens: number): string {
    return label.repeat(Math.ceil(tokens * charsPerToken / label.length)).slice(0, tokens * charsPerToken);
}

function drawPrompts(job: JobScenario, random: Random): Prompt[] {
    const { length } = job;
    const shared = fill(`shared ${job.job} `, job.sharedPromptTokens);
    const hardCount = Math.max(1, Math.round(job.distinctPrompts * length.hardPromptRatio));
    const hardRatio = length.stragglerRatio * length.hardPromptShare * job.distinctPrompts / hardCount;
    const easyCount = Math.max(1, job.distinctPrompts - hardCount);
    const easyRatio = length.stragglerRatio * (1 - length.hardPromptShare) * job.distinctPrompts / easyCount;
    return Array.from({ length: job.distinctPrompts }, (_, index) => ({
        text: shared
            + fill(`${job.job} prompt ${index} `, Math.max(16, job.promptTokens - job.sharedPromptTokens)),
        medianTokens: length.medianTokens * Math.exp(length.promptSigma * drawNormal(random)),
        stragglerRatio: Math.min(1, index < hardCount ? hardRatio : easyRatio),
    }));
}

function shuffle<T>(items: T[], random: Random): T[] {
    const shuffled = [...items];
    for (let at = shuffled.length - 1; at > 0; at--) {
        const other = random.nextInt(at + 1);
        [shuffled[at], shuffled[other]] = [shuffled[other]!, shuffled[at]!];
    }
    return shuffled;
}

function drawTokens(job: JobScenario, prompt: Prompt, random: Random): number {
    const { length } = job;
    const base = prompt.medianTokens * Math.exp(length.sampleSigma * drawNormal(random));
    const isStraggler = random.nextUnit() < prompt.stragglerRatio;
    const tokens = Math.round(isStraggler ? base * length.stragglerFactor : base);
    return Math.min(length.maxTokens, Math.max(minTokens, tokens));
}

function drawJob(
    job: JobScenario,
    random: Random,
    nextSeed: () => number,
    tokensOf: Map<number, number>,
): Workload["jobs"][number] {
    const prompts = drawPrompts(job, random);
    const groupsPerStep = Math.ceil(job.samplesPerStep / job.groupSize);
    let epoch: Prompt[] = [];
    const drawGroup = (): { prompt: string; seeds: number[]; } => {
        epoch = epoch.length > 0 ? epoch : shuffle(prompts, random);
        const prompt = epoch.pop()!;
        const seeds = Array.from({ length: job.groupSize }, () => {
            const seed = nextSeed();
            tokensOf.set(seed, drawTokens(job, prompt, random));
            return seed;
        });
        return { prompt: prompt.text, seeds };
    };
    const steps = Array.from({ length: job.steps }, () => {
        const groups = Array.from({ length: groupsPerStep }, drawGroup);
        const lengths = groups.flatMap(group => group.seeds).map(seed => tokensOf.get(seed)!);
        return {
            groups,
            totalTokens: lengths.reduce((sum, tokens) => sum + tokens, 0),
            longestTokens: Math.max(...lengths),
        };
    });
    return { steps };
}

function drawInteractive(scenario: Scenario, random: Random): Workload["interactive"] {
    const load = scenario.interactive;
    if (load === undefined) {
        return [];
    }
    const requests: Workload["interactive"] = [];
    let atMs = 0;
    while (atMs < scenario.maxMs) {
        atMs += -Math.log(1 - random.nextUnit()) / load.requestsPerSecond * secondMs;
        const tokens = Math.max(
            minTokens,
            Math.round(load.medianTokens * Math.exp(load.sigma * drawNormal(random))),
        );
        requests.push({ atMs, tokens });
    }
    return requests;
}

/** Draws the lengths, prompts and arrivals of a scenario for one seed. */
export function drawWorkload(scenario: Scenario, seed: number): Workload {
    const random = createRandom(seed);
    const tokensOf = new Map<number, number>();
    let lastSeed = 0;
    const nextSeed = (): number => ++lastSeed;
    const jobs = scenario.jobs.map(job => drawJob(job, random.fork(), nextSeed, tokensOf));
    return { jobs, interactive: drawInteractive(scenario, random.fork()), tokensOf };
}
