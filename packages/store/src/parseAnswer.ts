import { ResultError } from "@auburnarch/errors/ResultError";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { ZodType } from "zod";

/** Validates the response of an external service; a malformed one fails as a whole, like a transport fault. */
export function parseAnswer<T>(schema: ZodType<T>, value: unknown, faultCode: ResultCode): T {
    const parsed = schema.safeParse(value);
    if (!parsed.success) {
        throw new ResultError(
            faultCode,
            `answer: ${parsed.error.issues[0]?.message ?? "malformed"}`,
        );
    }
    return parsed.data;
}
