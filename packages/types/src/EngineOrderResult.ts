/** Answer to an order. After `failed` the served version is unknown until the engine is described again. */
export type EngineOrderResult =
    | { kind: "done"; }
    | { kind: "fenced"; highestFencing: number; }
    | { kind: "failed"; detail: string; };
