/**
 * The operators' interface of an entry. Calls reject with an `OperatorFailure`: one that carries the entry's
 * error, or code `peerUnreachable` if the entry gave no answer.
 */
export interface OperatorClient {
    get(path: string): Promise<unknown>;
    post(path: string, body: unknown): Promise<unknown>;
}
