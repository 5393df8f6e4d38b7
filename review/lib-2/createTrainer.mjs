import { site } from "./prepareSite.mjs";
import { sendCall } from "./sendCall.mjs";

const maxCalls = 20;
const retryMs = 300;

/** Calls of a trainer at the gateways, each on a new connection, repeated at another gateway after a failure. */
export function createTrainer({ gateways, record, sleep }) {
    let next = 0;

    async function call(name, options) {
        const gateway = gateways[next++ % gateways.length];
        const { host, clientPort: port } = gateway;
        const headers = { host: site.host, ...options.headers };
        const answer = await sendCall({ ...options, host, port, headers });
        record({ event: name, gateway: gateway.name, status: answer.status, detail: answer.detail });
        return answer;
    }

    async function callUntil(name, accepts, options) {
        for (let calls = 0; calls < maxCalls; calls++) {
            const answer = await call(name, options);
            if (accepts.includes(answer.status)) {
                return answer;
            }
            await sleep(retryMs);
        }
        throw new Error(`no answer to ${name}`);
    }

    return {
        submit: ({ id, path, body }) =>
            callUntil("submit", [202], {
                method: "POST",
                path,
                headers: { "auburnarch-request-id": id, "content-type": "application/json" },
                body,
            }),
        end: id => callUntil("endJob", [200], { method: "DELETE", path: `/v1/lots/${id}` }),
        /** One read; an empty page if there is no answer. */
        read: async (id, after) => {
            const headers = { "auburnarch-wait-ms": "1000" };
            const answer = await call("read", {
                method: "GET",
                path: `/v1/lots/${id}?after=${after}`,
                headers,
            });
            return answer.status === 200 ? JSON.parse(answer.body) : { results: [], next: after };
        },
        /** Reads until `total` results are listed or the time is over. */
        readAll: async function(id, total, limitMs) {
            const results = [];
            const endMs = performance.now() + limitMs;
            while (results.length < total && performance.now() < endMs) {
                results.push(...(await this.read(id, results.length)).results);
                await sleep(200);
            }
            return results;
        },
    };
}
