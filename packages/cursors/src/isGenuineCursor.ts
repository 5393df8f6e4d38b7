import { timingSafeEqual } from "node:crypto";

/** True if the signature that came with a cursor is the one its content has; compared in constant time. */
export function isGenuineCursor(signature: Uint8Array, expected: Uint8Array): boolean {
    return signature.length === expected.length && timingSafeEqual(signature, expected);
}
