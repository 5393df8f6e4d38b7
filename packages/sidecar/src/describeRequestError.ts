import { ResultError } from "@auburnarch/errors/ResultError";
import { z } from "zod";

/** Describes what is wrong with a message, without repeating its content. */
export function describeRequestError(error: unknown): string {
    if (error instanceof z.ZodError) {
        const issue = error.issues[0]!;
        return `${issue.path.join(".") || "message"}: ${issue.message}`;
    }
    if (error instanceof ResultError) {
        return error.detail;
    }
    return error instanceof SyntaxError ? "not JSON" : "malformed";
}
