import { codeOf } from "@auburnarch/errors/codeOf";
import { UnknownOutcomeError } from "@auburnarch/errors/UnknownOutcomeError";
import { outcomeOfCode } from "./outcomeOfCode.js";

/** Whether a request that ended with `error` ran. */
export const outcomeOfError = (error: unknown): "notRun" | "unknown" =>
    error instanceof UnknownOutcomeError ? "unknown" : outcomeOfCode(codeOf(error));
