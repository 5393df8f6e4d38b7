import type { IncarnationId } from "@auburnarch/types/IncarnationId";
import type { StepStatus } from "./StepStatus.js";

/** A relieved sampler loses three quarters of its slots, so at most a tenth of all slots is given up. */
const maxRelievedShare = 1 / 8;

/**
 * Chooses the samplers that take fewer further items because they run a last item of a late trainer's step, the latest
 * trainer's first. Load addressed: steps of late trainers that wait for one long item, which runs a fifth slower beside
 * seven others.
 */
export function chooseRelievedSamplers(
    steps: readonly StepStatus[],
    serving: readonly IncarnationId[],
): Set<IncarnationId> {
    const known = new Set(serving);
    // The only sampler of a service is not relieved, since other policies would get no slots until the item has ended.
    const maxRelieved = Math.min(
        serving.length - 1,
        Math.max(1, Math.floor(serving.length * maxRelievedShare)),
    );
    const critical = [...steps]
        .sort((a, b) => b.latenessMs - a.latenessMs || (a.lot < b.lot ? -1 : 1))
        .flatMap(step => step.criticalSamplers)
        .filter(sampler => known.has(sampler));
    return new Set([...new Set(critical)].slice(0, maxRelieved));
}
