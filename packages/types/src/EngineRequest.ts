import type { AttemptId } from "./AttemptId.js";
import type { PolicyId } from "./PolicyId.js";

/** One generation asked of a model engine. */
export interface EngineRequest {
    attempt: AttemptId;
    policy: PolicyId;
    prompt: string;
    /** Text that earlier attempts produced; the engine continues behind it. Empty for a fresh start. */
    resumeText: string;
    /** Tokens that `resumeText` holds. */
    resumeTokens: number;
    /** Bound of the whole text, `resumeTokens` included. */
    maxTokens: number;
    /** Higher runs first. 0 to 100; interactive traffic uses 100. */
    priority: number;
    seed: number;
}
