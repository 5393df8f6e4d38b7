/** A new connection of a link, or bytes that its caller sent. */
export interface LinkUse {
    atMs: number;
    kind: "connection" | "bytes";
}
