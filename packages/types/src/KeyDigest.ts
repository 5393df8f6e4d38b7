import type { Brand } from "./Brand.js";

/** SHA-256 of a caller's key, in hex. The key itself is stored nowhere. */
export type KeyDigest = Brand<string, "KeyDigest">;
