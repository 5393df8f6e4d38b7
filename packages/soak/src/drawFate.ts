import type { RequestFate } from "@auburnarch/platform/testing/RequestFate";
import type { Random } from "@auburnarch/types/Random";

const fates: RequestFate[] = ["crashed", "crashed", "silenced", "failed"];

/** Draws what a crash-inducing request does to a sampler: it crashes it, loudly or silently, or fails this time. */
export function drawFate(random: Random): RequestFate {
    return fates[random.nextInt(fates.length)]!;
}
