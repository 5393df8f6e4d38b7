import type { Random } from "@auburnarch/types/Random";

/** Picks up to `count` distinct elements at random. */
export function drawSome<T>(from: readonly T[], count: number, random: Random): T[] {
    const remaining = [...from];
    const picked: T[] = [];
    while (picked.length < count && remaining.length > 0) {
        picked.push(...remaining.splice(random.nextInt(remaining.length), 1));
    }
    return picked;
}
