import type { Random } from "@auburnarch/types/Random";

/** Up to `count` different elements at random. */
export function drawSome<T>(from: readonly T[], count: number, random: Random): T[] {
    const left = [...from];
    const drawn: T[] = [];
    while (drawn.length < count && left.length > 0) {
        drawn.push(...left.splice(random.nextInt(left.length), 1));
    }
    return drawn;
}
