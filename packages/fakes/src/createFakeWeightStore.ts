import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { WeightStore } from "@auburnarch/types/WeightStore";
import { createTokenBucket } from "./createTokenBucket.js";

interface FakeWeightStoreOptions {
    clock: Clock;
    /** Duration of one download. */
    transferMs: number;
    /** Maximum number of concurrent downloads; more are refused. */
    maxConcurrent?: number;
    /** Maximum number of downloads started per second; more are refused. */
    ratePerSecond?: number;
}

interface FakeWeightStoreControl {
    downloads(): number;
    refused(): number;
    maxRunning(): number;
    setOutage(down: boolean): void;
}

/** Creates a weight store that refuses downloads beyond its rate limit or its number of slots. */
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
