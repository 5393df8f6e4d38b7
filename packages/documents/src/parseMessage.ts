import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { z } from "zod";

/** Validates `message` and returns it with branded types. Throws `badRequest` if it does not match. */
export function parseMessage<T>(schema: z.ZodType, message: unknown): T {
    const parsed = schema.safeParse(message);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        throw new ResultError(
            resultCodes.badRequest,
            `${issue?.path.join(".") ?? ""}: ${issue?.message ?? ""}`,
        );
    }
    return parsed.data as T;
}
