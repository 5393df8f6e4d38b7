import { request } from "node:http";

/**
 * Sends a client's call on a new connection. Resolves with status, headers and body, or with why there is no complete
 * answer; never rejects. With an agent the connection may be a kept one, as `isKept` says.
 */
export function sendCall(
    { host, port, method, path, headers = {}, body = "", limitMs = 4_000, agent = false },
) {
    return new Promise(resolve => {
        const sent = request(
            {
                host,
                port,
                method,
                path,
                agent,
                headers: { ...headers, "content-length": Buffer.byteLength(body) },
            },
            answer => {
                const chunks = [];
                const { statusCode: status, headers: answerHeaders } = answer;
                answer.on("data", chunk => chunks.push(chunk));
                answer.on("error", error => resolve({ status: 0, detail: error.message, isKept: isKept() }));
                answer.on(
                    "end",
                    () =>
                        resolve({
                            status,
                            headers: answerHeaders,
                            body: Buffer.concat(chunks).toString("utf8"),
                        }),
                );
            },
        );
        const isKept = () => sent.reusedSocket;
        sent.setTimeout(limitMs, () => sent.destroy(new Error("client gave up")));
        sent.on("error", error => resolve({ status: 0, detail: error.message, isKept: isKept() }));
        sent.end(body);
    });
}
