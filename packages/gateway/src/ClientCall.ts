import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { Credential } from "@auburnarch/routing/Credential";
import type { ClientRequest } from "./ClientRequest.js";

/** A call about a batch job, with its host and the client's credential. */
interface BatchJobCall {
    batchJobId: BatchJobId;
    host: string;
    credential: Credential;
}

/** A call from a client. */
export type ClientCall =
    | { kind: "request"; request: ClientRequest; }
    | ({ kind: "readLot"; after: number; waitMs: number; } & BatchJobCall)
    | ({ kind: "readItem"; item: string; } & BatchJobCall)
    | ({ kind: "endLot"; } & BatchJobCall);
