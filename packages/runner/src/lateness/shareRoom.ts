import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { RegisteredSampler } from "@auburnarch/discovery/RegisteredSampler";
import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { canServe } from "./canServe.js";
import { findPrecedingSteps } from "./findPrecedingSteps.js";
import { guaranteedSlots } from "./guaranteedSlots.js";
import { isAtRisk } from "./isAtRisk.js";
import { relievedLimit } from "./relievedLimit.js";
import type { SamplerUse } from "./SamplerUse.js";
import type { ServicePicture } from "./ServicePicture.js";
import type { StepStatus } from "./StepStatus.js";

interface SharedSampler extends SamplerUse {
    /** Policy whose items would be sent. */
    policy: PolicyId;
    sampler: IncarnationId;
    picture: ServicePicture;
    /** Team of a step; empty if it was submitted without a key. */
    teamOf: (lot: BatchJobId) => string;
}

interface SharedRoom {
    room: number;
    /** The policy's step whose items are sent next, and the first step that it leaves slots to. */
    yields?: { own: StepStatus; to: StepStatus; };
}

/** The policy's step whose items a dispatcher sends next. */
const nextStepOf = ({ picture: { steps }, policy }: SharedSampler): StepStatus | undefined =>
    steps.find(step => step.policy === policy && step.waitingItems > 0);

function guaranteeOf(step: StepStatus, { limit, picture: { steps }, teamOf }: SharedSampler): number {
    const team = teamOf(step.lot);
    return guaranteedSlots({
        limit,
        policies: new Set(steps.map(({ policy }) => policy)).size,
        teams: new Set(steps.map(({ lot }) => teamOf(lot))).size,
        policiesOfTeam: new Set(
            steps.filter(({ lot }) => teamOf(lot) === team).map(({ policy }) => policy),
        ).size,
    });
}

/** Slots per sampler that some steps need for their waiting and running items. */
function neededSlots(needing: readonly StepStatus[], { picture }: SharedSampler): number {
    const canRunAny = (sampler: RegisteredSampler): boolean =>
        needing.some(({ policy }) => canServe(sampler, policy, picture.newestVersions.get(policy) ?? 0));
    const items = needing.reduce((sum, step) => sum + step.waitingItems + step.runningItems, 0);
    return Math.ceil(items / Math.max(1, picture.serving.filter(canRunAny).length));
}

/**
 * Shares the free slots of a sampler between steps. A step keeps to the slots that those before it do not need, but at
 * least to its guarantee. Slots are divided by number instead of being left empty until the other runner learns of
 * them: a peer learns of a free slot up to 0.4 s later, and most items take little longer.
 */
export function shareRoom(shared: SharedSampler): SharedRoom {
    const { policy, sampler, limit, load, outstanding, room, picture } = shared;
    const own = nextStepOf(shared);
    const isRelieved = picture.relieved.has(sampler) && (own === undefined || !isAtRisk(own));
    const relieved = isRelieved ? relievedLimit(limit) - load : Infinity;
    const registered = picture.serving.find(({ incarnation }) => incarnation === sampler);
    if (own === undefined || registered === undefined) {
        return { room: Math.min(room, relieved) };
    }
    const sharing = picture.steps.filter(step =>
        step.policy !== policy
        && canServe(registered, step.policy, picture.newestVersions.get(step.policy) ?? 0)
    );
    const preceding = findPrecedingSteps(own, sharing);
    const left = preceding.length === 0
        ? 0
        : Math.min(neededSlots(preceding, shared), limit - guaranteeOf(own, shared));
    const allowed = limit - left - outstanding;
    return {
        room: Math.min(room, relieved, left > 0 ? allowed : Infinity),
        ...(left > 0 && allowed < room ? { yields: { own, to: preceding[0]! } } : {}),
    };
}
