/** Yields a body and calls `onClean` after its end; does not call it if the body is interrupted. */
export async function* notifyOnCleanEnd(
    body: AsyncIterable<Uint8Array>,
    onClean: () => void,
): AsyncGenerator<Uint8Array> {
    yield* body;
    onClean();
}
