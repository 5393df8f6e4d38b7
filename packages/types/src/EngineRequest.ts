import type { AttemptId } from "./AttemptId.js";
import type { PolicyId } from "./PolicyId.js";

/** A request to a model engine for one generation. */
export interface EngineRequest {
    attempt: AttemptId;
    policy: PolicyId;
    prompt: string;
    /** Text that earlier attempts produced and the engine continues. Empty for a fresh start. */
    resumeText: string;
    /** Number of tokens in `resumeText`. */
    resumeTokens: number;
    /** Upper bound for the whole text, including `resumeTokens`. */
    maxTokens: number;
    /** From 0 to 100; higher runs first. Interactive traffic uses 100. */
    priority: number;
    seed: number;
}
