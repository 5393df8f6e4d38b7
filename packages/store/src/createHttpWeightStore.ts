import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { WeightStore } from "@auburnarch/types/WeightStore";
import { createJsonClient } from "./createJsonClient.js";
import type { HttpClientOptions } from "./HttpClientOptions.js";

const defaultTransferTimeoutMs = 600_000;

/** Creates a client of the weight store over HTTP (`POST /downloads`), which responds when the transfer is complete. */
export function createHttpWeightStore(baseUrl: string, options: HttpClientOptions = {}): WeightStore {
    const client = createJsonClient(baseUrl, resultCodes.weightStoreThrottled, {
        timeoutMs: defaultTransferTimeoutMs,
        ...options,
    });
    return async (policy, version, location) => {
        await client.call("POST", "/downloads", { policy, version, location });
    };
}
