import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { ByteSink } from "./ByteSink.js";

const maxSingleWriteBytes = 8_192;

/** Creates a sink that writes to a server response. A body that is complete at the start is sent with its length. */
export function createResponseSink(
    response: ServerResponse,
    status: number,
    headers: OutgoingHttpHeaders,
): ByteSink {
    return {
        begin: totalBytes => {
            const headersWithLength = !totalBytes || "content-length" in headers
                ? headers
                : { ...headers, "content-length": totalBytes };
            response.writeHead(status, headersWithLength);
        },
        write: chunk => response.write(chunk),
        end: last => {
            if (last !== undefined && last.length <= maxSingleWriteBytes) {
                // Node writes a latin1 string together with the headers; a buffer costs a separate write.
                response.end(
                    Buffer.from(last.buffer, last.byteOffset, last.length).toString("latin1"),
                    "latin1",
                );
                return;
            }
            response.end(last);
        },
        drained: () =>
            new Promise(resolve => {
                if (response.destroyed || !response.writableNeedDrain) {
                    resolve();
                    return;
                }
                const done = (): void => {
                    response.removeListener("drain", done);
                    response.removeListener("close", done);
                    resolve();
                };
                response.once("drain", done);
                response.once("close", done);
            }),
    };
}
