import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { PlainAnswer } from "@auburnarch/types/PlainAnswer";
import type { PlainBackend } from "@auburnarch/types/PlainBackend";
import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { FakePlainServiceControl } from "./FakePlainServiceControl.js";
import { hashText } from "./hashText.js";

interface FakePlainServiceOptions {
    clock: Clock;
    latencyMs?: number;
    /** Body of the answer; by default JSON with the method, the path and a hash of the request's body. */
    answer?: (request: PlainRequest) => Uint8Array;
}

const keyHeader = "idempotency-key";
const increase = (counts: Map<string, number>, key: string): void => {
    counts.set(key, (counts.get(key) ?? 0) + 1);
};

function describeRequest(request: PlainRequest): Uint8Array {
    const bodyHash = hashText(Buffer.from(request.body).toString("latin1"));
    return Buffer.from(JSON.stringify({ method: request.method, path: request.path, bodyHash }));
}

async function* streamBody(body: Uint8Array, isCutShort: boolean): AsyncGenerator<Uint8Array> {
    const half = Math.ceil(body.length / 2);
    yield body.subarray(0, half);
    if (isCutShort) {
        throw new ResultError(resultCodes.connectionBroken, "body cut short");
    }
    yield body.subarray(half);
}

/** Creates an in-memory plain service that counts the runs of each idempotency key and attempt. */
export function createFakePlainService(
    options: FakePlainServiceOptions,
): { backend: PlainBackend; control: FakePlainServiceControl; } {
    const { clock, answer = describeRequest } = options;
    const runsByKey = new Map<string, number>();
    const runsByAttempt = new Map<string, number>();
    let latencyMs = options.latencyMs ?? 0;
    let answersToBreak = 0;
    let requestsToRefuse = 0;
    let bodiesToCut = 0;
    let up = true;
    let isCrashInducing: (request: PlainRequest) => boolean = () => false;

    function run(request: PlainRequest): void {
        increase(runsByAttempt, request.attempt);
        const key = request.headers[keyHeader];
        if (key !== undefined) {
            increase(runsByKey, key);
        }
        if (isCrashInducing(request)) {
            up = false;
        }
    }

    function makeAnswer(request: PlainRequest): PlainAnswer {
        const isCutShort = bodiesToCut > 0;
        bodiesToCut -= isCutShort ? 1 : 0;
        return {
            status: 200,
            headers: { "content-type": "application/json" },
            body: streamBody(answer(request), isCutShort),
        };
    }

    const backend: PlainBackend = async (request, signal) => {
        if (!up || requestsToRefuse > 0) {
            requestsToRefuse -= up ? 1 : 0;
            return { kind: "notRun", code: resultCodes.connectFailed, retryAfterMs: undefined };
        }
        run(request);
        if (latencyMs > 0) {
            await clock.sleep(latencyMs, signal);
        }
        if (signal.aborted) {
            return { kind: "unknown", code: resultCodes.cancelled };
        }
        if (!up || answersToBreak > 0) {
            answersToBreak -= up ? 1 : 0;
            return { kind: "unknown", code: resultCodes.connectionBroken };
        }
        return { kind: "ran", answer: makeAnswer(request) };
    };

    const control: FakePlainServiceControl = {
        runsByKey: () => new Map(runsByKey),
        runsByAttempt: () => new Map(runsByAttempt),
        breakAfterRun: count => {
            answersToBreak = count;
        },
        refuseNext: count => {
            requestsToRefuse = count;
        },
        cutBody: count => {
            bodiesToCut = count;
        },
        setLatency: ms => {
            latencyMs = ms;
        },
        crashOn: predicate => {
            isCrashInducing = predicate;
        },
        restart: () => {
            up = true;
        },
    };
    return { backend, control };
}
