/** Size of a value in a message, in bytes. */
export function jsonBytes(value: unknown): number {
    return Buffer.byteLength(JSON.stringify(value));
}
