import type { Candidate } from "@auburnarch/pick/Candidate";
import { correctedLoad } from "@auburnarch/pick/correctedLoad";
import type { PickDecision } from "@auburnarch/pick/PickDecision";
import type { PickRequest } from "@auburnarch/pick/PickRequest";
import { selectCandidates } from "@auburnarch/pick/selectCandidates";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { SamplerView } from "@auburnarch/types/SamplerView";
import type { DispatcherDeps } from "./DispatcherDeps.js";
import type { DispatchState } from "./DispatchState.js";
import { findCritical } from "./findCritical.js";
import type { Work } from "./Work.js";

/** Turns views into candidates and a waiting sample into a decision. */
interface Placement {
    listCandidates(nowMs: number): Candidate[];
    /** Those of the candidates that are able to run it. */
    listAble(work: Work, candidates: Candidate[], nowMs: number): Candidate[];
    decide(work: Work, candidates: Candidate[], nowMs: number): PickDecision;
}

const charsPerToken = 4;

/** Makes the placement of one dispatcher. */
export function createPlacement(deps: DispatcherDeps, state: DispatchState): Placement {
    const { ledger, hints, policy } = state;

    function toCandidate(view: SamplerView, critical: ReadonlySet<SamplerId>, nowMs: number): Candidate {
        const record = ledger.record(view.report.sampler);
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
            sentSinceReport: ledger.sentSinceReport(view, nowMs),
            room: 0,
            reserved: 0,
            cachedPromptTokens: 0,
            observedTokensPerSecond: deps.paceOf?.(view.report.sampler) ?? record.tokensPerSecond,
            aboutToSwap: deps.isAboutToSwap?.(view.report.sampler) ?? false,
            lastSentOrder: record.lastSentOrder,
        };
        if (record.coolUntilMs <= nowMs) {
            const { outstanding } = candidate;
            const { limit: reported } = view.report;
            const limit = critical.has(view.report.sampler) ? policy.thin(reported) : reported;
            const load = correctedLoad(candidate);
            candidate.room = policy.room({ limit, load, outstanding, started });
        }
        return candidate;
    }

    function toRequest(work: Work, candidates: Candidate[], nowMs: number): PickRequest {
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

    function noteHints(able: Candidate[], prompt: string, promptTokens: number, nowMs: number): void {
        for (const candidate of able) {
            const sampler = candidate.view.report.sampler;
            candidate.cachedPromptTokens = hints.expectCachedTokens(prompt, sampler, promptTokens, nowMs);
        }
    }

    return {
        listCandidates: nowMs => {
            const critical = findCritical(state, nowMs);
            return deps.listSamplers().map(view => toCandidate(view, critical, nowMs));
        },
        listAble: (work, candidates, nowMs) =>
            selectCandidates(candidates, toRequest(work, candidates, nowMs)),
        decide: (work, candidates, nowMs) => {
            const request = toRequest(work, candidates, nowMs);
            const able = selectCandidates(candidates, request);
            if (able.length === 0) {
                return { kind: "none", reason: "noneAble", candidates: 0 };
            }
            noteHints(able, work.task.prompt, request.promptTokens, nowMs);
            return policy.pick(able, request, deps.random);
        },
    };
}
