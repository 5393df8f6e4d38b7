import type { ResultCode } from "@auburnarch/types/ResultCode";

/** An error with a numbered result code. `detail` names the field or cause and never contains a token or a body. */
export class ResultError extends Error {
    readonly code: ResultCode;
    readonly detail: string;
    readonly retryAfterMs: number | undefined;

    constructor(code: ResultCode, detail = "", retryAfterMs?: number) {
        super(
            `${code.number} ${code.name}: ${code.meaning}${
                detail === "" ? "" : ` (${detail})`
            } ${code.action}`,
        );
        this.name = "ResultError";
        this.code = code;
        this.detail = detail;
        this.retryAfterMs = retryAfterMs;
    }
}
