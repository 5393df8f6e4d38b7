import type { Candidate } from "@auburnarch/selection/Candidate";
import type { AttemptId } from "@auburnarch/types/AttemptId";
import type { Clock } from "@auburnarch/types/Clock";
import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { Random } from "@auburnarch/types/Random";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { BenchPolicy } from "./BenchPolicy.js";
import type { createFleet } from "./createFleet.js";
import { policyOf } from "./policyOf.js";
import type { Scenario } from "./Scenario.js";
import type { Workload } from "./Workload.js";

interface InteractiveLoadDeps {
    scenario: Scenario;
    workload: Workload;
    policy: BenchPolicy;
    fleet: ReturnType<typeof createFleet>;
    clock: Clock;
    random: Random;
}

interface InteractiveLoad {
    /** Time from arrival to the complete answer, by answered request. */
    latenciesMs: number[];
    failed(): number;
    stop(): void;
}

const budgetMs = 30_000;
const unknownNeedMs = 0;

/** Starts the interactive requests of a scenario: completions without streaming, placed by the policy's own picker. */
export function createInteractiveLoad(deps: InteractiveLoadDeps): InteractiveLoad {
    const { scenario, workload, policy, fleet, clock, random } = deps;
    const latenciesMs: number[] = [];
    const outstanding = new Map<SamplerId, number>();
    const target = policyOf(scenario.jobs[0]!.job);
    let failures = 0;
    let sent = 0;
    let cancelNext = (): void => {};

    function toCandidates(): Candidate[] {
        return fleet.listSamplers()
            .filter(view => view.report.state === "ready" && !view.suspected)
            .map(view => ({
                view,
                outstanding: outstanding.get(view.report.sampler) ?? 0,
                outstandingTokens: 0,
                sentSinceReport: 0,
                room: 1,
                reserved: 0,
                cachedPromptTokens: 0,
                observedTokensPerSecond: undefined,
                aboutToSwap: false,
                lastSentOrder: 0,
            }));
    }

    function pick(tokens: number): SamplerId | undefined {
        const decision = policy.dispatch.pick(toCandidates(), {
            policy: target,
            minVersion: 0 as WeightVersion,
            digest: "" as ContentDigest,
            promptTokens: 0,
            expectedTokens: tokens,
            needAtMs: unknownNeedMs,
            nowMs: clock.monotonicMs(),
            suspect: false,
            avoid: new Set(),
        }, random);
        return decision.kind === "picked" ? decision.sampler : undefined;
    }

    async function request(tokens: number): Promise<void> {
        const startMs = clock.monotonicMs();
        const sampler = pick(tokens);
        if (sampler === undefined) {
            failures++;
            return;
        }
        outstanding.set(sampler, (outstanding.get(sampler) ?? 0) + 1);
        const body = { model: target, prompt: `tokens ${tokens} quote ${sent++}`, max_tokens: 8_192 };
        const outcome = await fleet.sidecar(sampler).callPlain({
            attempt: random.nextId() as AttemptId,
            service: "rollout" as ServiceId,
            team: scenario.interactive!.team as TeamId,
            method: "POST",
            path: "/v1/completions",
            headers: {},
            body: Buffer.from(JSON.stringify(body)),
            idempotent: true,
            digest: `interactive.${sent}` as ContentDigest,
            budgetMs,
        }, new AbortController().signal);
        outstanding.set(sampler, outstanding.get(sampler)! - 1);
        if (outcome.kind === "ran" && outcome.answer.status === 200) {
            latenciesMs.push(clock.monotonicMs() - startMs);
        }
        else {
            failures++;
        }
    }

    function scheduleNext(index: number): void {
        const next = workload.interactive[index];
        if (next !== undefined) {
            cancelNext = clock.startTimer(next.atMs - clock.monotonicMs(), () => {
                void request(next.tokens);
                scheduleNext(index + 1);
            });
        }
    }

    scheduleNext(0);
    return { latenciesMs, failed: () => failures, stop: () => cancelNext() };
}
