import type { Brand } from "./Brand.js";

/** SHA-256 in hex of a request's content, excluding its request id. */
export type ContentDigest = Brand<string, "ContentDigest">;
