import { isDeepStrictEqual } from "node:util";
import type { StoreCall } from "./StoreCall.js";
import type { StoreCallAnswer } from "./StoreCallAnswer.js";

/** As it is stored: without undefined fields. */
const asStored = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

/**
 * The answer to a call that was sent more than once. A change is conditional on the same version each time, so it takes
 * effect at most once; a conflict with its own result shows that an earlier copy took effect.
 */
export function settleRepeatedCall(call: StoreCall, answer: StoreCallAnswer): StoreCallAnswer {
    if (answer.kind !== "conflict") {
        return answer;
    }
    const { current } = answer;
    if (call.call === "remove" && current === undefined) {
        return { kind: "written", version: call.expectedVersion };
    }
    if (
        call.call === "write" && current !== undefined
        && isDeepStrictEqual(current.value, asStored(call.value))
    ) {
        return { kind: "written", version: current.version };
    }
    return answer;
}
