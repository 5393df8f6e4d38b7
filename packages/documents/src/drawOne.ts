import type { Random } from "@auburnarch/types/Random";

/** Picks one element at random; undefined if the list is empty. */
export function drawOne<T>(from: readonly T[], random: Random): T | undefined {
    return from.length === 0 ? undefined : from[random.nextInt(from.length)];
}
