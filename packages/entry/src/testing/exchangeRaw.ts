import { connect } from "node:net";

/** The answer received on a connection; its fields are undefined if the connection was closed without one. */
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
 * Sends bytes over a socket and resolves with the first answer, or with an empty one if the connection is closed
 * without an answer. `more` is sent repeatedly until then.
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
                // Writes until the socket's buffer is full; the `drain` event resumes it.
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
