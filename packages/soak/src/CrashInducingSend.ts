/** One request of the crash-inducing caller. */
export interface CrashInducingSend {
    requestId: string;
    /** Name of the gateway that it was sent to. */
    gateway: string;
    atMs: number;
}
