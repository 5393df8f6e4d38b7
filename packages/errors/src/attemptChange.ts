import type { Attempted } from "./Attempted.js";
import type { NoEffectProof } from "./NoEffectProof.js";
import { resultCodes } from "./resultCodes.js";
import { ResultError } from "./ResultError.js";

const isProof = (error: unknown): error is NoEffectProof =>
    error instanceof ResultError && error.code === resultCodes.storeThrottled;

/**
 * Makes one attempt to change something. Never rejects: every error that does not prove that nothing was done means that
 * the outcome is unknown.
 */
export async function attemptChange<T>(change: () => Promise<T>): Promise<Attempted<T>> {
    try {
        return { kind: "answered", answer: await change() };
    }
    catch (error) {
        return isProof(error) ? { kind: "refused", proof: error } : { kind: "unknown", error };
    }
}
