import type { CallerRequest } from "@auburnarch/entry/CallerRequest";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { TeamId } from "@auburnarch/types/TeamId";

/** Creates a completion request whose prompt crashes every engine that runs it. */
export function createCrashRequest(prompt: string): CallerRequest {
    return {
        team: "humoboira" as TeamId,
        service: "rollout" as ServiceId,
        method: "POST",
        path: "/v1/completions",
        headers: { "content-type": "application/json" },
        body: Buffer.from(JSON.stringify({ model: "plume", prompt, max_tokens: 8 })),
        budgetMs: 1_500,
        idempotencyKey: undefined,
        idempotent: undefined,
        forwarded: false,
    };
}
