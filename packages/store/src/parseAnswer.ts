import { ResultError } from "@auburnarch/errors/ResultError";
import type { ResultCode } from "@auburnarch/types/ResultCode";
import type { ZodType } from "zod";

/** Checks an answer from outside; one that does not fit rejects like a transport fault, never half read. */
export function parseAnswer<T>(schema: ZodType<T>, value: unknown, faultCode: ResultCode): T {
    const parsed = schema.safeParse(value);
    if (!parsed.success) {
        throw new ResultError(faultCode, `answer: ${parsed.error.issues[0]?.message ?? "malformed"}`);
    }
    return parsed.data;
}
