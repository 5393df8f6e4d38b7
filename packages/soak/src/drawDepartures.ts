import type { Random } from "@auburnarch/types/Random";
import type { TimedFault } from "./TimedFault.js";

/** Number of samplers of each service of which one is drawn; the service's others stay. */
const departureCandidates = 2;

/** Draws a departure of one sampler each of the model and the plain service, in the second half of the faults. */
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
