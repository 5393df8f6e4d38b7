/** A response that breaks the protocol. It is the server's fault and says nothing of the request. */
export class MalformedResponseError extends Error {
    constructor(detail: string) {
        super(detail);
        this.name = "MalformedResponseError";
    }
}
