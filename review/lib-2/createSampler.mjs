import { createServer } from "node:http";

const headerNames = {
    requestId: "auburnarch-request-id",
    signature: "auburnarch-response-signature",
    notExecuted: "auburnarch-not-executed",
    expectInstance: "auburnarch-expect-instance",
    weightVersion: "auburnarch-weight-versions",
};

async function readBody(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/** The events of an item, as every sampler makes them. */
export const eventOf = (item, number) => `${item} event ${number}`;

/** The body of a plain answer. */
export const answerOf = requestId => `answer to ${requestId}, `.repeat(40);

/** The signature of an answer. */
export const signatureOf = requestId => `signed-${requestId}`;

/**
 * Serves a sampler: a model engine that streams the events of items and takes orders, or a plain service. `hasLength`:
 * whether its answers have a length, or chunks; otherwise they end with their connection.
 */
export async function createSampler(options) {
    const {
        id,
        service,
        zone,
        models = [],
        slots,
        events = 20,
        eventMs = 40,
        plainMs = 100,
        hasLength = true,
    } = options;
    const versions = new Map(models.map(model => [model, 1]));
    const runs = [];
    const orders = [];
    let running = 0;
    let address = "";

    const describe = () => ({
        service,
        address,
        zone,
        "version": "v1",
        "max-batch-size": slots,
        "state": "ready",
        "cold-remaining-ms": 0,
        "models": [...versions].map(([name, version]) => ({ name, version, adapters: [] })),
        "sequence": 1,
    });

    function begin(response, requestId, extraHeaders = {}) {
        if (!hasLength) {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
        }
        response.writeHead(200, {
            [headerNames.requestId]: requestId,
            [headerNames.signature]: signatureOf(requestId),
            ...extraHeaders,
        });
    }

    function stream(request, response, item) {
        const model = request.headers["auburnarch-model"];
        let number = Number(request.headers["last-event-id"] ?? 0);
        const run = { id: item, after: number, atMs: performance.now() };
        runs.push(run);
        options.onRun?.(run);
        running++;
        begin(response, item, {
            "content-type": "text/event-stream",
            [headerNames.weightVersion]: String(versions.get(model) ?? 1),
        });
        response.flushHeaders();
        const send = () => {
            if (number >= events) {
                clearInterval(timer);
                run.isWhole = true;
                response.end();
                return;
            }
            number++;
            response.write(`id: ${number}\ndata: ${eventOf(item, number)}\n\n`);
        };
        const timer = setInterval(send, eventMs);
        response.once("close", () => {
            clearInterval(timer);
            run.endedAtMs = performance.now();
            running--;
        });
    }

    /** Half of the body is sent at once, the rest when the work is done. */
    function answerPlain(request, response, requestId) {
        const run = { id: requestId, path: request.url, atMs: performance.now() };
        runs.push(run);
        options.onRun?.(run);
        running++;
        const body = answerOf(requestId);
        begin(response, requestId, hasLength ? { "content-length": body.length } : {});
        const half = body.length / 2;
        response.write(body.slice(0, half));
        const timer = setTimeout(() => response.end(body.slice(half)), plainMs);
        response.once("close", () => {
            clearTimeout(timer);
            running--;
        });
    }

    function takeOrder(body, response) {
        const order = JSON.parse(body);
        if (order.expect !== undefined && order.expect !== orders.length) {
            response.writeHead(409).end();
            return;
        }
        orders.push({ ...order, atMs: performance.now() });
        response.writeHead(202).end();
        setTimeout(() => {
            versions.set(order.model, order.version);
            options.onEntry?.(id, describe());
        }, 900);
    }

    async function handle(request, response) {
        const body = await readBody(request);
        const requestId = request.headers[headerNames.requestId] ?? "";
        const expected = request.headers[headerNames.expectInstance];
        if (expected !== undefined && expected !== id) {
            response.writeHead(421, { [headerNames.notExecuted]: "1" }).end();
        }
        else if (request.url === "/v1/report") {
            const models = describe()["models"];
            response.writeHead(200, { "content-type": "application/json" });
            response.end(
                JSON.stringify({ stage: "mixed", models, busy: false, sequence: orders.length, running }),
            );
        }
        else if (request.url === "/v1/order") {
            takeOrder(body, response);
        }
        else if (running >= slots) {
            response.writeHead(503, { [headerNames.notExecuted]: "1" }).end();
        }
        else if (models.length > 0) {
            stream(request, response, requestId);
        }
        else {
            answerPlain(request, response, requestId);
        }
    }

    const server = createServer((request, response) => {
        handle(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 30_000;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    address = `127.0.0.1:${server.address().port}`;
    return {
        id,
        host: "127.0.0.1",
        port: server.address().port,
        /** Sets the address under which callers reach it. */
        setAddress: (host, port) => {
            address = `${host}:${port}`;
        },
        entry: describe,
        runs,
        orders,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
