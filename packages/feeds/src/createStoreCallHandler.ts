import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import { performStoreCall } from "./performStoreCall.js";
import type { StoreCall } from "./StoreCall.js";
import type { StoreCallAnswer } from "./StoreCallAnswer.js";
import { storeCallSchemas } from "./storeCallSchemas.js";

interface StoreCallHandlerDeps {
    /** The store by this runner's own connection, so that a call is relayed only once. */
    direct: Pick<ObjectStore, "read" | "write" | "remove">;
    isRelayable: (key: string) => boolean;
    record: (call: StoreCall, result: string, tookMs: number) => void;
    clock: Clock;
}

/**
 * Creates the handler of store calls that a runner makes for peers. Each is made once; without an answer of the store
 * within the caller's time limit its outcome is unknown. Rejects with `badRequest` if nothing was done.
 */
export function createStoreCallHandler(
    deps: StoreCallHandlerDeps,
): (params: unknown) => Promise<StoreCallAnswer> {
    const { clock } = deps;
    return async params => {
        const parsed = storeCallSchemas.call.safeParse(params);
        if (!parsed.success) {
            const { path, message } = parsed.error.issues[0]!;
            throw new ResultError(resultCodes.badRequest, `${path.join(".")}: ${message}`);
        }
        const { timeoutMs, ...call } = parsed.data;
        if (!deps.isRelayable(call.key)) {
            throw new ResultError(resultCodes.badRequest, `key: ${call.key} is not relayed`);
        }
        const startedAtMs = clock.monotonicMs();
        const limit = new AbortController();
        const answer = await Promise.race([
            performStoreCall(deps.direct, call).then(performed => performed.answer),
            clock.sleep(timeoutMs, limit.signal).then((): StoreCallAnswer => ({ kind: "unknown" })),
        ]);
        limit.abort();
        deps.record(call, answer.kind, clock.monotonicMs() - startedAtMs);
        return answer;
    };
}
