import type { Random } from "@auburnarch/types/Random";
import type { TimedFault } from "./TimedFault.js";

/** Places of each service of which one is left, so that others remain. */
const departureCandidates = 2;

/** One sampler of the model service and one of the plain one leave in the second half of the faults. */
export function drawDepartures(random: Random, modelSamplers: number, lengthMs: number): TimedFault[] {
    return [0, modelSamplers].map(first => ({
        atMs: lengthMs / 2 + random.nextInt(lengthMs / 2),
        fault: {
            kind: "leaveSampler",
            sampler: first + random.nextInt(departureCandidates),
            isAnnounced: random.nextInt(2) === 0,
        },
    }));
}
