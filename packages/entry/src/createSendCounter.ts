import type { Clock } from "@auburnarch/types/Clock";
import type { SendCounter } from "./SendCounter.js";

const keptSends = 512;

/** Counts what is in flight and what was sent lately; the memory is bounded by `keptSends` times. */
export function createSendCounter(clock: Clock): SendCounter {
    let attempts = 0;
    let tokens = 0;
    const sentAtMs: number[] = [];

    function begin(expectedTokens: number): ReturnType<SendCounter["begin"]> {
        let leftTokens = expectedTokens;
        attempts++;
        tokens += leftTokens;
        sentAtMs.push(clock.monotonicMs());
        if (sentAtMs.length > keptSends) {
            sentAtMs.shift();
        }
        const take = (count: number): void => {
            const taken = Math.min(leftTokens, count);
            leftTokens -= taken;
            tokens -= taken;
        };
        return {
            progress: take,
            end: () => {
                attempts--;
                take(leftTokens);
            },
        };
    }

    return {
        attempts: () => attempts,
        tokens: () => tokens,
        sentWithin: ageMs => {
            const sinceMs = clock.monotonicMs() - ageMs;
            let count = 0;
            for (let at = sentAtMs.length - 1; at >= 0 && sentAtMs[at]! > sinceMs; at--) {
                count++;
            }
            return count;
        },
        begin,
    };
}
