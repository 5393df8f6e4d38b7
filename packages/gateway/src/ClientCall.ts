import type { LotId } from "@auburnarch/lots/LotId";
import type { Credential } from "@auburnarch/routing/Credential";
import type { ClientRequest } from "./ClientRequest.js";

/** From whom a call about a batch job is, and under which host it came. */
interface LotCall {
    lot: LotId;
    host: string;
    credential: Credential;
}

/** What a client asks for. */
export type ClientCall =
    | { kind: "request"; request: ClientRequest; }
    | ({ kind: "readLot"; after: number; waitMs: number; } & LotCall)
    | ({ kind: "readItem"; item: string; } & LotCall)
    | ({ kind: "endLot"; } & LotCall);
