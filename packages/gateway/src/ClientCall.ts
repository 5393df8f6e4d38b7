import type { LotId } from "@auburnarch/lots/LotId";
import type { ClientRequest } from "./ClientRequest.js";

/** What a client asks for. */
export type ClientCall =
    | { kind: "request"; request: ClientRequest; }
    | { kind: "readLot"; lot: LotId; after: number; waitMs: number; }
    | { kind: "readItem"; lot: LotId; item: string; }
    | { kind: "endLot"; lot: LotId; };
