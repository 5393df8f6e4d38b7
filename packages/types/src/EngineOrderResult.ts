/** Answer to an order; `failed` leaves what the engine serves in doubt until it is described again. */
export type EngineOrderResult =
    | { kind: "done"; }
    | { kind: "fenced"; highestFencing: number; }
    | { kind: "failed"; detail: string; };
