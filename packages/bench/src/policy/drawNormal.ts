import type { Random } from "@auburnarch/types/Random";

/** One draw of the standard normal distribution (Box-Muller). */
export function drawNormal(random: Random): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random.nextUnit()));
    return radius * Math.cos(2 * Math.PI * random.nextUnit());
}
