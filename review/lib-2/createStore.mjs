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

/** Serves the platform's store on loopback: objects by kind and name, one revision counter, lists and watches. */
export async function createStore(host) {
    const objects = new Map();
    const events = [];
    const waiters = new Set();
    let revision = 1;

    function publish(kind, object, deleted) {
        events.push({ kind, revision, object, deleted });
        [...waiters].forEach(wake => wake());
    }

    function put(kind, name, spec, status) {
        const key = `${kind}/${name}`;
        const existing = objects.get(key);
        revision++;
        const created = existing?.metadata["created-rev"] ?? revision;
        const metadata = { name, revision, "created-rev": created, finalizers: [], deleting: false };
        const object = { metadata, spec, status: status ?? existing?.status ?? null };
        objects.set(key, object);
        publish(kind, object, false);
        return object;
    }

    function remove(kind, name) {
        const existing = objects.get(`${kind}/${name}`);
        if (existing !== undefined) {
            revision++;
            objects.delete(`${kind}/${name}`);
            publish(kind, { ...existing, metadata: { ...existing.metadata, revision } }, true);
        }
    }

    function list(kind, after) {
        const all = [...objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
            .filter(({ metadata }) => metadata.name > after)
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
                const timer = setTimeout(end, waitMs);
                waiters.add(wake);
            });
        }
        const found = find().map(({ object, deleted }) => ({ object, deleted }));
        return { status: 200, body: { events: found, "store-revision": revision } };
    }

    function change(method, kind, name, body, queryRevision, isStatus) {
        const existing = objects.get(`${kind}/${name}`);
        if (isStatus) {
            return existing === undefined
                ? { status: 404, body: {} }
                : { status: 200, body: put(kind, name, existing.spec, body.status) };
        }
        if (method === "POST") {
            return existing === undefined
                ? { status: 201, body: put(kind, name, body.spec) }
                : { status: 409, body: existing };
        }
        if (existing === undefined) {
            return { status: 404, body: {} };
        }
        const expected = queryRevision ?? body.metadata?.revision;
        if (expected !== undefined && Number(expected) !== existing.metadata.revision) {
            return { status: 409, body: existing };
        }
        if (method === "DELETE") {
            remove(kind, name);
            return { status: 200, body: existing };
        }
        const isSame = JSON.stringify(existing.spec) === JSON.stringify(body.spec);
        return { status: 200, body: isSame ? existing : put(kind, name, body.spec) };
    }

    async function answer(request) {
        const url = new URL(request.url, "http://store");
        const [, kind = "", named, status] = pathPattern.exec(url.pathname) ?? [];
        const body = await readJson(request);
        const name = decodeURIComponent(named ?? body.metadata?.name ?? "");
        const since = url.searchParams.get("watch") ?? undefined;
        if (request.method === "GET" && since !== undefined) {
            return watch(kind, Number(since), Number(url.searchParams.get("wait-ms") ?? 0));
        }
        if (request.method === "GET" && named === undefined) {
            return list(kind, url.searchParams.get("after") ?? "");
        }
        if (request.method === "GET") {
            const object = objects.get(`${kind}/${name}`);
            return object === undefined ? { status: 404, body: {} } : { status: 200, body: object };
        }
        const queryRevision = url.searchParams.get("revision") ?? undefined;
        return change(request.method, kind, name, body, queryRevision, status !== undefined);
    }

    async function handle(request, response) {
        const { status, body } = await answer(request);
        const text = Buffer.from(JSON.stringify(body));
        response.writeHead(status, { "content-type": "application/json", "content-length": text.length });
        response.end(text);
    }

    const server = createServer((request, response) => {
        handle(request, response).catch(() => response.destroy());
    });
    // The store keeps connections open for longer than any pause between two calls of a process.
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        host,
        port: server.address().port,
        put,
        remove,
        get: (kind, name) => objects.get(`${kind}/${name}`),
        listNames: kind => [...objects.keys()].filter(key => key.startsWith(`${kind}/`)),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
