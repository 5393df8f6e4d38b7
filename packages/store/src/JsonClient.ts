import type { ResultCode } from "@auburnarch/types/ResultCode";

/** Response to a JSON call. */
interface JsonAnswer {
    status: number;
    value: unknown;
}

/**
 * Client of a JSON service. A transport fault rejects with the client's `faultCode`, an error response with the code
 * that it names. `extraTimeoutMs` extends the timeout of a call that waits at the server.
 */
export interface JsonClient {
    call(method: string, path: string, body?: unknown, extraTimeoutMs?: number): Promise<JsonAnswer>;
    /** Code with which transport faults reject. */
    faultCode: ResultCode;
    close(): void;
}
