import { type Agent, type IncomingMessage, request as httpRequest } from "node:http";

interface Call {
    agent: Agent;
    url: URL;
    method: string;
    /** Bearer token; the fake backend servers ignore it. */
    token: string;
    body?: string;
    onChunk?: (chunk: Buffer) => void;
}

const maxErrorBodyChars = 60;

/**
 * Sends one HTTP request of the load generator; resolves when the answer is complete, rejects unless its status is 200.
 */
export function callOnce(call: Call): Promise<void> {
    return new Promise((resolve, reject) => {
        const { agent, method, url } = call;
        const request = httpRequest({
            agent,
            method,
            host: url.hostname,
            port: url.port,
            path: url.pathname + url.search,
            headers: { "authorization": `Bearer ${call.token}`, "content-type": "application/json" },
        });
        request.on("error", reject);
        request.on("response", (response: IncomingMessage) => {
            let errorBody = "";
            response.on("data", (chunk: Buffer) => {
                if (response.statusCode === 200) {
                    call.onChunk?.(chunk);
                }
                else if (errorBody.length < maxErrorBodyChars) {
                    errorBody += chunk.toString("utf8");
                }
            });
            response.on("error", reject);
            response.on("end", () => {
                if (response.statusCode === 200) {
                    resolve();
                }
                else {
                    reject(
                        new Error(`status ${response.statusCode} ${errorBody.slice(0, maxErrorBodyChars)}`),
                    );
                }
            });
        });
        request.end(call.body);
    });
}
