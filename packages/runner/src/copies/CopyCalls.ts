import type { RunnerAddress } from "@auburnarch/discovery/RunnerAddress";
import type { ReadTextsRequest } from "./ReadTextsRequest.js";
import type { StoreTextsRequest } from "./StoreTextsRequest.js";

/** Calls to peers about copies of texts. They reject if the peer does not answer in time; answers are unchecked. */
export interface CopyCalls {
    storeTexts(address: RunnerAddress, request: StoreTextsRequest, timeoutMs: number): Promise<unknown>;
    readTexts(address: RunnerAddress, request: ReadTextsRequest, timeoutMs: number): Promise<unknown>;
}
