import type { Random } from "@auburnarch/types/Random";

/** Delay before the attempt after `failures` failures: doubles from `firstMs` to `maxMs`, half of it is jitter. */
export function backoffMs(failures: number, firstMs: number, maxMs: number, random: Random): number {
    const ceilingMs = Math.min(maxMs, firstMs * 2 ** Math.min(failures - 1, 30));
    return ceilingMs * (0.5 + random.nextUnit() / 2);
}
