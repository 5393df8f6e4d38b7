import type { ResultCode } from "@auburnarch/types/ResultCode";

/** An answered JSON call. */
interface JsonAnswer {
    status: number;
    value: unknown;
}

/**
 * Sends a JSON call. A transport fault rejects with the client's own code, an error answer with the code it
 * names. `extraTimeoutMs` allows for a call that waits at the server.
 */
export interface JsonClient {
    call(method: string, path: string, body?: unknown, extraTimeoutMs?: number): Promise<JsonAnswer>;
    /** Code of transport faults. */
    faultCode: ResultCode;
    close(): void;
}
