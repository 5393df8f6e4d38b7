import { connect } from "node:net";

/** What came back on a connection until the other side closed it or its answer was whole. */
interface RawAnswer {
    status: number | undefined;
    body: { code?: number; name?: string; outcome?: string; } | undefined;
}

function parseAnswer(text: string): RawAnswer | undefined {
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const head = text.slice(0, headEnd);
    const body = text.slice(headEnd + 4);
    const length = Number(/content-length: (\d+)/iu.exec(head)?.[1] ?? 0);
    if (Buffer.byteLength(body) < length) {
        return undefined;
    }
    const isJson = /application\/json/iu.test(head);
    return {
        status: Number(/^HTTP\/1\.1 (\d{3})/u.exec(head)?.[1]),
        body: isJson ? JSON.parse(body.slice(0, length)) as RawAnswer["body"] : undefined,
    };
}

/**
 * Sends bytes over a socket and resolves with the first answer, or with an empty one where the connection was closed
 * without any. `more` is sent again and again until then.
 */
export function exchangeRaw(port: number, bytes: string | Uint8Array, more?: Uint8Array): Promise<RawAnswer> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        let text = "";
        const end = (): void => {
            const answer = parseAnswer(text);
            if (answer !== undefined || socket.destroyed) {
                socket.destroy();
                resolve(answer ?? { status: undefined, body: undefined });
            }
        };
        const pump = (): void => {
            while (more !== undefined && !socket.destroyed && socket.write(more)) {
                // Until the socket is full; `drain` calls again.
            }
        };
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
            end();
        });
        socket.on("drain", pump);
        socket.on("error", () => undefined);
        socket.on("close", end);
        socket.write(bytes);
        pump();
    });
}
