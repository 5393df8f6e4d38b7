import type { Candidate } from "@auburnarch/selection/Candidate";
import { correctedLoad } from "@auburnarch/selection/correctedLoad";
import type { PickDecision } from "@auburnarch/selection/PickDecision";
import type { PickRequest } from "@auburnarch/selection/PickRequest";
import { selectCandidates } from "@auburnarch/selection/selectCandidates";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { DispatcherDeps } from "./DispatcherDeps.js";
import type { DispatchState } from "./DispatchState.js";
import { findCriticalSamplers } from "./findCriticalSamplers.js";
import type { SampleWork } from "./SampleWork.js";

/** Turns sampler views into candidates and chooses one for a waiting sample. */
interface Placement {
    listCandidates(nowMs: number): Candidate[];
    /** The candidates that can run the sample. */
    listEligible(work: SampleWork, candidates: Candidate[], nowMs: number): Candidate[];
    decide(work: SampleWork, candidates: Candidate[], nowMs: number): PickDecision;
}

const charsPerToken = 4;

/** Creates the placement of one dispatcher. */
export function createPlacement(deps: DispatcherDeps, state: DispatchState): Placement {
    const { samplerStats, prefixHints, policy } = state;

    /**
     * Leaves slots to other dispatchers. The limit in the candidate's report is lowered as well, so that the expected
     * wait there includes these slots; otherwise samples would wait for them as for the fastest sampler.
     */
    function adjustRoom(candidate: Candidate, load: number): void {
        const { view: { report }, outstanding, room } = candidate;
        const { sampler, limit } = report;
        const adjusted = deps.adjustRoom?.(sampler, { limit, load, outstanding, room }) ?? room;
        candidate.room = adjusted;
        if (adjusted < room) {
            const lowered = Math.max(1, Math.min(limit, load + adjusted));
            candidate.view = { ...candidate.view, report: { ...report, limit: lowered } };
        }
    }

    function toCandidate(view: SamplerView, critical: ReadonlySet<SamplerId>, nowMs: number): Candidate {
        const record = samplerStats.recordOf(view.report.sampler);
        let outstandingTokens = 0;
        let started = 0;
        for (const attempt of record.running) {
            outstandingTokens += Math.max(0, attempt.expectedTokens - attempt.tokens);
            started += attempt.firstSpanAtMs === undefined ? 0 : 1;
        }
        const candidate: Candidate = {
            view,
            outstanding: record.running.size,
            outstandingTokens,
            sentSinceReport: samplerStats.sentSinceReport(view, nowMs),
            room: 0,
            reserved: 0,
            cachedPromptTokens: 0,
            observedTokensPerSecond: deps.measuredTokensPerSecond?.(view.report.sampler)
                ?? record.tokensPerSecond,
            aboutToSwap: deps.isAboutToSwap?.(view.report.sampler) ?? false,
            lastSentOrder: record.lastSentOrder,
        };
        if (record.pausedUntilMs <= nowMs) {
            const { outstanding } = candidate;
            const { limit: reported } = view.report;
            const limit = critical.has(view.report.sampler) ? policy.stragglerLimit(reported) : reported;
            const load = correctedLoad(candidate);
            candidate.room = policy.room({ limit, load, outstanding, started });
            adjustRoom(candidate, load);
        }
        return candidate;
    }

    function listAllowed(work: SampleWork, candidates: Candidate[]): Candidate[] {
        const services = deps.servicesOf?.(work.task.sample);
        return services === undefined
            ? candidates
            : candidates.filter(({ view }) => services.has(view.report.service));
    }

    function toRequest(work: SampleWork, candidates: Candidate[], nowMs: number): PickRequest {
        const { task } = work;
        const isSuspect = candidates.some(candidate =>
            candidate.view.report.suspects.some(suspect => suspect.digest === task.digest)
        );
        return {
            policy: deps.job().policy,
            minVersion: work.minVersion,
            digest: task.digest,
            promptTokens: Math.ceil(task.prompt.length / charsPerToken),
            expectedTokens: work.expectedTokens,
            needAtMs: task.needAtMs,
            nowMs,
            suspect: isSuspect,
            avoid: work.avoid,
        };
    }

    function applyPrefixHints(
        eligible: Candidate[],
        prompt: string,
        promptTokens: number,
        nowMs: number,
    ): void {
        for (const candidate of eligible) {
            const sampler = candidate.view.report.sampler;
            candidate.cachedPromptTokens = prefixHints.expectCachedTokens(
                prompt,
                sampler,
                promptTokens,
                nowMs,
            );
        }
    }

    return {
        listCandidates: nowMs => {
            const critical = findCriticalSamplers(state, nowMs);
            return deps.listSamplers().map(view => toCandidate(view, critical, nowMs));
        },
        listEligible: (work, candidates, nowMs) =>
            selectCandidates(listAllowed(work, candidates), toRequest(work, candidates, nowMs)),
        decide: (work, candidates, nowMs) => {
            const request = toRequest(work, candidates, nowMs);
            const eligible = selectCandidates(listAllowed(work, candidates), request);
            if (eligible.length === 0) {
                return { kind: "none", reason: "noneAble", candidates: 0 };
            }
            applyPrefixHints(eligible, work.task.prompt, request.promptTokens, nowMs);
            return policy.pick(eligible, request, deps.random);
        },
    };
}
