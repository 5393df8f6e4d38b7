import type { Random } from "@auburnarch/types/Random";

/** One element at random; undefined from an empty list. */
export function drawOne<T>(from: readonly T[], random: Random): T | undefined {
    return from.length === 0 ? undefined : from[random.nextInt(from.length)];
}
