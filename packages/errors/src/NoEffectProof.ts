import type { Brand } from "@auburnarch/types/Brand";
import type { ResultError } from "./ResultError.js";

/**
 * An error that proves that the attempted change had no effect and will have none. Only `attemptChange` creates it, from
 * the error of the change itself, so that no other error can take its place.
 */
export type NoEffectProof = Brand<ResultError, "NoEffectProof">;
