// A stand-in of one sampler in a process of its own. It reports to its parent: `listening`, `run`, `ended`, `order`,
// `loaded`, `plain` and `cut`. With models it streams items and accepts orders; without, it answers plain requests.
import { createServer } from "node:http";

const options = JSON.parse(process.argv[2]);
const { id, host, models, startVersions, eventIntervalMs, loadMs, cutEach, streamsAnswers } = options;
const versions = new Map(Object.entries(startVersions));
let sequence = 0;
let isBusy = false;
let running = 0;
let plainAnswers = 0;

const report = message => process.send?.(message);
const headerOf = (request, name) => request.headers[name];

async function readBody(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

const servedModels = () => models.map(name => ({ name, version: versions.get(name), adapters: [] }));

function answerJson(response, status, value) {
    const text = JSON.stringify(value);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    });
    response.end(text);
}

/** Carries an order out: the runs continue under the new version, as `preserve` asks. */
function takeOrder(order, response) {
    if (isBusy || (order.expect !== undefined && order.expect !== sequence)) {
        answerJson(response, 409, {});
        return;
    }
    if (order.operation !== "version" || order.holder === undefined || order.fence === undefined) {
        answerJson(response, 400, {});
        return;
    }
    if (versions.get(order.model) === order.version) {
        answerJson(response, 200, {});
        return;
    }
    sequence++;
    isBusy = true;
    report({ kind: "order", ...order });
    answerJson(response, 202, {});
    setTimeout(() => {
        versions.set(order.model, order.version);
        isBusy = false;
        report({ kind: "loaded", models: servedModels() });
    }, loadMs);
}

function refuse(response, status, requestId) {
    response.writeHead(status, {
        "auburnarch-not-executed": "1",
        ...(requestId === undefined ? {} : { "auburnarch-request-id": requestId }),
        "content-length": 0,
    });
    response.end();
}

/** Streams the events of an item after `Last-Event-Id`; the data of each names the version that made it. */
function streamItem(request, response, requestId, body) {
    const model = headerOf(request, "auburnarch-model");
    const events = JSON.parse(body.toString("utf8")).events;
    let number = Number(headerOf(request, "last-event-id") ?? 0);
    let version = versions.get(model);
    report({ kind: "run", item: requestId, path: request.url, after: number, version });
    running++;
    response.once("close", () => {
        running--;
        clearInterval(timer);
        report({ kind: "ended", item: requestId, made: number, whole: response.writableFinished });
    });
    response.writeHead(200, {
        "content-type": "text/event-stream",
        "auburnarch-request-id": requestId,
        "auburnarch-response-signature": `${id}.${requestId}`,
        "auburnarch-weight-versions": String(version),
    });
    const timer = setInterval(() => {
        number++;
        const now = versions.get(model);
        const change = now === version ? "" : `auburnarch-weight-versions: ${now}\n`;
        version = now;
        response.write(`${change}id: ${number}\ndata: ${requestId}.${number}.v${version}\n\n`);
        if (number >= events) {
            clearInterval(timer);
            response.end();
        }
    }, eventIntervalMs);
}

const scoreEvents = 3;

/** Body of an answer: some text, or a stream of events with increasing ids. */
function bodyOf(requestId) {
    if (!streamsAnswers) {
        return `${id} ran ${requestId}`.padEnd(200, ".");
    }
    const numbers = Array.from({ length: scoreEvents }, (_, index) => index + 1);
    return numbers.map(number => `id: ${number}\ndata: ${requestId}.${number}\n\n`).join("");
}

/** Answers a plain request; with `cutEach` = n, each n-th answer breaks off after half of its body. */
function answerPlain(request, response, requestId) {
    report({ kind: "plain", request: requestId, path: request.url });
    const text = bodyOf(requestId);
    response.writeHead(200, {
        "auburnarch-request-id": requestId,
        "auburnarch-response-signature": `${id}.${requestId}`,
        ...(streamsAnswers ? { "content-type": "text/event-stream" } : { "content-length": text.length }),
    });
    plainAnswers++;
    if (cutEach !== undefined && plainAnswers % cutEach === 0) {
        report({ kind: "cut", request: requestId });
        response.write(
            text.slice(0, text.length / 2),
            () => setTimeout(() => request.socket.resetAndDestroy(), 20),
        );
        return;
    }
    response.end(text);
}

async function handle(request, response) {
    const body = await readBody(request);
    const requestId = headerOf(request, "auburnarch-request-id");
    const expected = headerOf(request, "auburnarch-expect-instance");
    if (expected !== undefined && expected !== id) {
        refuse(response, 421, requestId);
    }
    else if (request.url === "/v1/report") {
        const counts = { queued: 0, running, "kv-used": 0, "kv-total": 90_000, handles: 0 };
        answerJson(response, 200, {
            stage: "mixed",
            models: servedModels(),
            busy: isBusy,
            sequence,
            ...counts,
        });
    }
    else if (request.url === "/v1/order") {
        takeOrder(JSON.parse(body.toString("utf8")), response);
    }
    else if (requestId === undefined) {
        refuse(response, 400, undefined);
    }
    else if (isBusy) {
        refuse(response, 503, requestId);
    }
    else if (models.length > 0) {
        streamItem(request, response, requestId, body);
    }
    else {
        answerPlain(request, response, requestId);
    }
}

process.on("disconnect", () => process.exit(0));
const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
});
server.listen(
    0,
    host,
    () => report({ kind: "listening", port: server.address().port, models: servedModels() }),
);
