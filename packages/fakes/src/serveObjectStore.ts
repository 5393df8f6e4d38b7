import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { ObjectStore } from "@auburnarch/types/ObjectStore";
import type { ObjectVersion } from "@auburnarch/types/ObjectVersion";
import type { WriteOutcome } from "@auburnarch/types/WriteOutcome";
import type { HttpServerHandle } from "./HttpServerHandle.js";
import type { JsonCall } from "./JsonCall.js";
import { serveJson } from "./serveJson.js";

type Answer = { status: number; value: unknown; };

const objectsPath = "/objects";
const versionIn = (text: unknown): ObjectVersion => Number(text) as ObjectVersion;
const ok = (value: unknown): Answer => ({ status: 200, value });
const answerWrite = (outcome: WriteOutcome): Answer => ({
    status: outcome.kind === "written" ? 200 : 409,
    value: outcome,
});

async function callObject(store: ObjectStore, key: string, call: JsonCall): Promise<Answer> {
    if (call.method === "PUT") {
        const body = call.body as { value: unknown; expectedVersion: number; };
        return answerWrite(await store.write(key, body.value, versionIn(body.expectedVersion)));
    }
    if (call.method === "DELETE") {
        return answerWrite(await store.remove(key, versionIn(call.query.get("expectedVersion"))));
    }
    const found = await store.read(key);
    return ok({ object: found });
}

/**
 * Serves an object store: `GET|PUT|DELETE /objects/<key>`, `GET /objects?prefix=`,
 * `GET /watch?prefix=&revision=&waitMs=`. A version conflict is answered with status 409 and the outcome.
 */
export function serveObjectStore(store: ObjectStore, port = 0): Promise<HttpServerHandle> {
    return serveJson(async call => {
        const prefix = call.query.get("prefix") ?? "";
        if (call.path === "/watch") {
            const waitMs = Number(call.query.get("waitMs"));
            return ok(await store.watch(prefix, versionIn(call.query.get("revision")), waitMs));
        }
        if (call.path === objectsPath) {
            return ok(await store.list(prefix));
        }
        if (!call.path.startsWith(`${objectsPath}/`)) {
            throw new ResultError(resultCodes.notFound, call.path);
        }
        return callObject(store, decodeURIComponent(call.path.slice(objectsPath.length + 1)), call);
    }, port);
}
