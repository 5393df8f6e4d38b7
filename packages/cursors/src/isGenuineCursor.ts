import { timingSafeEqual } from "node:crypto";

/** True if the signature of a received cursor matches its content; compared in constant time. */
export function isGenuineCursor(signature: Uint8Array, expected: Uint8Array): boolean {
    return signature.length === expected.length && timingSafeEqual(signature, expected);
}
