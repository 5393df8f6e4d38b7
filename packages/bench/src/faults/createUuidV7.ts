import type { Clock } from "@auburnarch/types/Clock";
import type { Random } from "@auburnarch/types/Random";

/** Creates a UUIDv7 with the current time. */
export function createUuidV7(clock: Clock, random: Random): string {
    const time = Math.floor(clock.wallMs()).toString(16).padStart(12, "0");
    const tail = random.nextId();
    const variant = "89ab"[random.nextInt(4)]!;
    return [
        time.slice(0, 8),
        time.slice(8),
        `7${tail.slice(0, 3)}`,
        `${variant}${tail.slice(3, 6)}`,
        tail.slice(6, 18),
    ].join("-");
}
