import { request as httpRequest } from "node:http";

/** Sends one call of a client on a new connection; resolves with status 0 if the connection ends without an answer. */
export function callGateway(
    gateway,
    { method = "GET", path, host = "a.example", headers = {}, body, timeoutMs = 5_000 },
) {
    return new Promise(resolve => {
        const payload = body === undefined ? undefined : Buffer.from(body);
        const request = httpRequest({
            host: gateway.host,
            port: gateway.port,
            method,
            path,
            agent: false,
            headers: {
                host,
                ...headers,
                ...(payload === undefined ? {} : { "content-length": payload.length }),
            },
        });
        const timer = setTimeout(() => request.destroy(new Error("no answer in time")), timeoutMs);
        const end = answer => {
            clearTimeout(timer);
            resolve(answer);
        };
        request.once("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.once("end", () => {
                end({
                    status: response.statusCode,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString(),
                });
            });
            response.once("error", error => end({ status: 0, headers: {}, body: String(error) }));
        });
        request.once("error", error => end({ status: 0, headers: {}, body: String(error) }));
        request.end(payload);
    });
}
