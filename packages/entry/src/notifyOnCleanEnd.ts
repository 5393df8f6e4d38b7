/** Passes a body on and calls `onClean` once it was read to its end; never after it broke off. */
export async function* notifyOnCleanEnd(
    body: AsyncIterable<Uint8Array>,
    onClean: () => void,
): AsyncGenerator<Uint8Array> {
    yield* body;
    onClean();
}
