import type { Brand } from "./Brand.js";

/** SHA-256 in hex of what a request asks to run, without its request id. */
export type ContentDigest = Brand<string, "ContentDigest">;
