import { createServer } from "node:http";

const pathPattern = /^\/v1\/objects\/([^/?]+)(?:\/([^/?]+))?(\/status)?$/u;
const pageSize = 500;

async function readJson(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? {} : JSON.parse(text);
}

/**
 * Starts a stand-in of the platform's store: objects by kind and name, one revision counter, conditional writes, lists
 * and watches. `fateOf` decides for each call, before it is carried out, what becomes of it: `served`, `busy` (503,
 * nothing is done), or `answerLost` (it is carried out and its connection is reset in place of an answer).
 */
export async function createStore({ host, fateOf = () => "served" }) {
    const objects = new Map();
    const events = [];
    const waiters = new Set();
    let revision = 1;

    function record(kind, object, deleted) {
        events.push({ kind, revision: object.metadata.revision, object, deleted });
        [...waiters].forEach(wake => wake());
    }

    function put(kind, name, spec, status) {
        revision++;
        const before = objects.get(`${kind}/${name}`);
        const created = before?.metadata["created-rev"] ?? revision;
        const metadata = { name, revision, "created-rev": created, finalizers: [], deleting: false };
        const object = { metadata, spec, status: status ?? before?.status };
        objects.set(`${kind}/${name}`, object);
        record(kind, object, false);
        return object;
    }

    function remove(kind, name) {
        const object = objects.get(`${kind}/${name}`);
        if (object === undefined) {
            return undefined;
        }
        revision++;
        objects.delete(`${kind}/${name}`);
        record(kind, { ...object, metadata: { ...object.metadata, revision } }, true);
        return object;
    }

    function list(kind, after) {
        const all = [...objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
            .filter(object => object.metadata.name > after)
            .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
        const items = all.slice(0, pageSize);
        return {
            status: 200,
            body: { items, "has-more": all.length > pageSize, "store-revision": revision },
        };
    }

    async function watch(kind, since, waitMs) {
        const find = () => events.filter(event => event.kind === kind && event.revision > since);
        if (find().length === 0) {
            await new Promise(resolve => {
                const end = () => {
                    clearTimeout(timer);
                    waiters.delete(wake);
                    resolve();
                };
                const wake = () => find().length > 0 ? end() : undefined;
                const timer = setTimeout(end, Math.min(waitMs, 30_000));
                waiters.add(wake);
            });
        }
        const found = find().map(({ object, deleted }) => ({ object, deleted }));
        return { status: 200, body: { events: found, "store-revision": revision } };
    }

    function write(method, kind, name, body, query) {
        const existing = objects.get(`${kind}/${name}`);
        const asked = query.get("revision") ?? body.metadata?.revision;
        if (method === "POST") {
            return existing === undefined
                ? { status: 201, body: put(kind, name, body.spec) }
                : { status: 409, body: existing };
        }
        if (existing === undefined) {
            return { status: 404, body: {} };
        }
        if (asked !== undefined && Number(asked) !== existing.metadata.revision) {
            return { status: 409, body: existing };
        }
        return method === "DELETE"
            ? { status: 200, body: remove(kind, name) }
            : { status: 200, body: put(kind, name, body.spec) };
    }

    async function carryOut({ method, kind, named, isStatus, body, query }) {
        const name = decodeURIComponent(named ?? body.metadata?.name ?? "");
        if (method === "GET" && query.has("watch")) {
            return watch(kind, Number(query.get("watch")), Number(query.get("wait-ms") ?? 0));
        }
        if (method === "GET" && named === undefined) {
            return list(kind, query.get("after") ?? "");
        }
        if (method === "GET") {
            const object = objects.get(`${kind}/${name}`);
            return object === undefined ? { status: 404, body: {} } : { status: 200, body: object };
        }
        if (isStatus) {
            return { status: 200, body: put(kind, name, objects.get(`${kind}/${name}`)?.spec, body.status) };
        }
        return write(method, kind, name, body, query);
    }

    async function handle(request, response) {
        const url = new URL(request.url, "http://store");
        const [, kind = "", named, status] = pathPattern.exec(url.pathname) ?? [];
        const body = await readJson(request);
        const { method } = request;
        const call = { method, kind, named, isStatus: status !== undefined, body, query: url.searchParams };
        const fate = fateOf(call);
        if (fate === "busy") {
            response.writeHead(503);
            response.end();
            return;
        }
        const answer = await carryOut(call);
        if (fate === "answerLost") {
            request.socket.resetAndDestroy();
            return;
        }
        const text = JSON.stringify(answer.body);
        response.writeHead(answer.status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
        });
        response.end(text);
    }

    const server = createServer((request, response) => {
        handle(request, response).catch(() => response.destroy());
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        put,
        remove,
        get: (kind, name) => objects.get(`${kind}/${name}`),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
