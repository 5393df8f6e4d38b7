import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { WeightStore } from "@auburnarch/types/WeightStore";
import { createTokenBucket } from "./createTokenBucket.js";

interface FakeWeightStoreOptions {
    clock: Clock;
    /** How long one download takes. */
    transferMs: number;
    /** Downloads at once; one more is refused. */
    maxConcurrent?: number;
    /** Downloads started a second; more are refused. */
    ratePerSecond?: number;
}

interface FakeWeightStoreControl {
    downloads(): number;
    refused(): number;
    maxRunning(): number;
    setOutage(down: boolean): void;
}

/** A weight store that refuses downloads beyond its rate or its number of slots. */
export function createFakeWeightStore(
    options: FakeWeightStoreOptions,
): { weightStore: WeightStore; control: FakeWeightStoreControl; } {
    const { clock, transferMs, maxConcurrent = Number.POSITIVE_INFINITY } = options;
    const takeToken = createTokenBucket(clock, options.ratePerSecond);
    let running = 0;
    let maxRunning = 0;
    let downloads = 0;
    let refused = 0;
    let down = false;

    const weightStore: WeightStore = async (policy, version) => {
        if (down || running >= maxConcurrent || !takeToken()) {
            refused++;
            throw new ResultError(resultCodes.weightStoreThrottled, `${policy}@${version}`, transferMs);
        }
        running++;
        maxRunning = Math.max(maxRunning, running);
        await clock.sleep(transferMs);
        running--;
        downloads++;
    };
    return {
        weightStore,
        control: {
            downloads: () => downloads,
            refused: () => refused,
            maxRunning: () => maxRunning,
            setOutage: isDown => {
                down = isDown;
            },
        },
    };
}
