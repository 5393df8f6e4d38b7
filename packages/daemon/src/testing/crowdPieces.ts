interface BodyPlan {
    path: string;
    /** Bytes of the body that are sent. */
    bytes: number;
    chunkBytes: number;
    /** Length that is announced; undefined for a chunked body, which is never ended. */
    announcedBytes?: number;
    /** Further headers, each as a line. */
    headers?: string[];
}

const pieceBytes = 16_384;

/** Generates the head of a request and a part of its body. */
export function* crowdPieces(id: string, plan: BodyPlan): Generator<string | Uint8Array> {
    const { path, bytes, chunkBytes, announcedBytes, headers = [] } = plan;
    const length = announcedBytes === undefined
        ? "transfer-encoding: chunked"
        : `content-length: ${announcedBytes}`;
    const head = [
        `POST ${path} HTTP/1.1`,
        "host: a.example",
        `auburnarch-request-id: ${id}`,
        length,
        ...headers,
    ];
    yield `${head.join("\r\n")}\r\n\r\n`;
    const data = Buffer.alloc(chunkBytes, "x");
    const chunk = announcedBytes === undefined
        ? Buffer.concat([Buffer.from(`${chunkBytes.toString(16)}\r\n`), data, Buffer.from("\r\n")])
        : data;
    // Small chunks are sent many at a time, as the kernel would join them.
    const perPiece = Math.min(
        Math.max(1, Math.floor(pieceBytes / chunk.length)),
        Math.ceil(bytes / chunkBytes),
    );
    const piece = Buffer.concat(Array.from({ length: perPiece }, () => chunk));
    for (let sent = 0; sent < bytes; sent += perPiece * chunkBytes) {
        yield piece;
    }
}
