import type { Random } from "@auburnarch/types/Random";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const unitSteps = 2 ** 32;

/** Creates a random number generator; the same seed gives the same sequence. */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    const nextWord = (): number => generator.next() >>> 0;
    const hexWord = (): string => nextWord().toString(16).padStart(8, "0");
    return {
        nextUnit: () => nextWord() / unitSteps,
        nextInt: bound => uniformInt(generator, 0, bound - 1),
        nextId: () => hexWord() + hexWord() + hexWord() + hexWord(),
        fork: () => createRandom(nextWord() | 0),
    };
}
