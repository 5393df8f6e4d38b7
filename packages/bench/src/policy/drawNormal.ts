import type { Random } from "@auburnarch/types/Random";

/** Draws from the standard normal distribution (Box-Muller transform). */
export function drawNormal(random: Random): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random.nextUnit()));
    return radius * Math.cos(2 * Math.PI * random.nextUnit());
}
