import { attemptChange } from "@auburnarch/errors/attemptChange";
import type { Attempted } from "@auburnarch/errors/Attempted";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";
import type { StoreCall } from "./StoreCall.js";
import type { StoreCallAnswer } from "./StoreCallAnswer.js";

type Direct = Pick<ObjectStore, "read" | "write" | "remove">;

/** Result of a call on this process's own connection, with the error if there was no answer. */
interface PerformedCall {
    answer: StoreCallAnswer;
    error?: unknown;
}

function toChangeAnswer(outcome: WriteOutcome): StoreCallAnswer {
    if (outcome.kind === "written") {
        return outcome;
    }
    const { current } = outcome;
    return current === undefined ? { kind: "conflict" } : { kind: "conflict", current };
}

function toPerformed<T>(attempted: Attempted<T>, toAnswer: (value: T) => StoreCallAnswer): PerformedCall {
    switch (attempted.kind) {
        case "answered":
            return { answer: toAnswer(attempted.answer) };
        case "refused":
            return { answer: { kind: "refused", code: attempted.proof.code.number }, error: attempted.proof };
        case "unknown":
            return { answer: { kind: "unknown" }, error: attempted.error };
    }
}

/** Makes one call on the given store. Never rejects. */
export async function performStoreCall(store: Direct, call: StoreCall): Promise<PerformedCall> {
    if (call.call === "read") {
        const attempted = await attemptChange(() => store.read(call.key));
        return toPerformed(
            attempted,
            object => object === undefined ? { kind: "read" } : { kind: "read", object },
        );
    }
    const { key, expectedVersion } = call;
    const attempted = await attemptChange(() =>
        call.call === "write"
            ? store.write(key, call.value, expectedVersion)
            : store.remove(key, expectedVersion)
    );
    return toPerformed(attempted, toChangeAnswer);
}
