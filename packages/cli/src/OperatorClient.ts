/**
 * Client of an entry's operator API. Calls reject with an `OperatorFailure` that carries the entry's error, or the code
 * `peerUnreachable` if the entry did not answer.
 */
export interface OperatorClient {
    get(path: string): Promise<unknown>;
    post(path: string, body: unknown): Promise<unknown>;
}
