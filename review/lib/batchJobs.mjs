import { callGateway } from "./callGateway.mjs";
import { sleep } from "./createBed.mjs";

/** A batch job as a trainer submits it; each item states its number of events in its body. */
export function encodeBatchJob(
    { path, job, model, step = 0, minVersion = 1, items, events, groupSize = 4, score },
) {
    return JSON.stringify({
        step,
        model,
        "min-version": minVersion,
        "group-count": Math.ceil(items.length / groupSize),
        items: items.map((id, index) => ({
            id,
            path: `${path}${job}/${id}`,
            headers: {
                "Auburnarch-Model": model,
                "Auburnarch-Token-Usage": `16,${events}`,
                "Auburnarch-Prompt-Prefix": `${index}a:16`,
            },
            body: Buffer.from(JSON.stringify({ events })).toString("base64"),
            tokens: 16 + events,
            "group-id": `${job}g${Math.floor(index / groupSize)}`,
            ...(score === undefined
                ? {}
                : { scorer: { id: `${id}5c0e`, host: "a.example", path: score, body: "3q2+7w==" } }),
        })),
    });
}

/** Submits a batch job once. */
export async function submitBatchJob(bed, gateway, { path, job, body, timeoutMs }) {
    const answer = await callGateway(gateway, {
        method: "POST",
        path: `${path}${job}`,
        headers: { "content-type": "application/json", "auburnarch-request-id": job },
        body,
        timeoutMs,
    });
    bed.record("client.submitted", { job, gateway: gateway.name, status: answer.status, body: answer.body });
    return answer.status;
}

/** Reads a batch job as its client does, about twice a second, until it is complete or the time is over. */
export async function readBatchJob(bed, gateways, { job, timeoutMs }) {
    const endMs = Date.now() + timeoutMs;
    const results = [];
    let total;
    for (let round = 0; Date.now() < endMs && (total === undefined || results.length < total); round++) {
        const gateway = gateways[round % gateways.length];
        const answer = await callGateway(gateway, {
            path: `/v1/lots/${job}?after=${results.length}`,
            headers: { "auburnarch-wait-ms": "1000" },
        });
        if (answer.status === 200) {
            const page = JSON.parse(answer.body);
            total = page.total;
            results.push(...page.results);
            for (const { output, ...result } of page.results) {
                bed.record("client.read", { job, gateway: gateway.name, ...result, chars: output.length });
            }
        }
        else {
            bed.record("client.notRead", { job, gateway: gateway.name, status: answer.status });
        }
        await sleep(300);
    }
    return { total, results };
}

/** Ends a batch job. */
export async function endBatchJob(bed, gateway, job) {
    const answer = await callGateway(gateway, { method: "DELETE", path: `/v1/lots/${job}` });
    bed.record("client.ended", { job, gateway: gateway.name, status: answer.status });
    return answer.status;
}
