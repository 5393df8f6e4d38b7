import type { PickRequest } from "../PickRequest.js";

/** Creates a request for 200 tokens of `plume` at version 3 or above, modified by the argument. */
export function createTestRequest(changes: Partial<Record<keyof PickRequest, unknown>> = {}): PickRequest {
    return {
        policy: "plume",
        minVersion: 3,
        digest: "own",
        promptTokens: 300,
        expectedTokens: 200,
        needAtMs: 60_000,
        nowMs: 0,
        suspect: false,
        avoid: new Set(),
        ...changes,
    } as unknown as PickRequest;
}
