import type { BatchJobId } from "@auburnarch/batches/BatchJobId";
import type { Credential } from "@auburnarch/routing/Credential";
import type { ClientRequest } from "./ClientRequest.js";

/** From whom a call about a batch job is, and under which host it came. */
interface BatchJobCall {
    lot: BatchJobId;
    host: string;
    credential: Credential;
}

/** What a client asks for. */
export type ClientCall =
    | { kind: "request"; request: ClientRequest; }
    | ({ kind: "readLot"; after: number; waitMs: number; } & BatchJobCall)
    | ({ kind: "readItem"; item: string; } & BatchJobCall)
    | ({ kind: "endLot"; } & BatchJobCall);
