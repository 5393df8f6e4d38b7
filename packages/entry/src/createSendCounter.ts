import type { Clock } from "@auburnarch/types/Clock";
import type { SendCounter } from "./SendCounter.js";

const maxSendTimes = 512;

/** Counts attempts and tokens in flight and recent sends; stores at most `maxSendTimes` send times. */
export function createSendCounter(clock: Clock): SendCounter {
    let attempts = 0;
    let tokens = 0;
    const sentAtMs: number[] = [];

    function begin(expectedTokens: number): ReturnType<SendCounter["begin"]> {
        let remainingTokens = expectedTokens;
        attempts++;
        tokens += remainingTokens;
        sentAtMs.push(clock.monotonicMs());
        if (sentAtMs.length > maxSendTimes) {
            sentAtMs.shift();
        }
        const subtractTokens = (count: number): void => {
            const taken = Math.min(remainingTokens, count);
            remainingTokens -= taken;
            tokens -= taken;
        };
        return {
            progress: subtractTokens,
            end: () => {
                attempts--;
                subtractTokens(remainingTokens);
            },
        };
    }

    return {
        attempts: () => attempts,
        tokens: () => tokens,
        sentWithin: ageMs => {
            const sinceMs = clock.monotonicMs() - ageMs;
            let count = 0;
            for (let index = sentAtMs.length - 1; index >= 0 && sentAtMs[index]! > sinceMs; index--) {
                count++;
            }
            return count;
        },
        begin,
    };
}
