// Samplers answer without a length; half of the connections to them are reset while items and a plain request run.
import { fileURLToPath } from "node:url";
import { createBatchJob } from "../lib-2/createBatchJob.mjs";
import { answerOf, eventOf, signatureOf } from "../lib-2/createSampler.mjs";
import { createTrainer } from "../lib-2/createTrainer.mjs";
import { prepareSite, site } from "../lib-2/prepareSite.mjs";
import { runCase } from "../lib-2/runCase.mjs";
import { sendCall } from "../lib-2/sendCall.mjs";

const events = 20;
const items = 16;
const plainRequests = 8;
const readLimitMs = 40_000;
const resetAfterMs = 350;

const outputOf = item => Array.from({ length: events }, (_, index) => eventOf(item, index + 1)).join("\n");

let samplers = [];

function resetHalf(isModel) {
    for (const { link } of samplers.filter(each => each.isModel === isModel)) {
        let turn = 0;
        link.resetOpen(() => turn++ % 2 === 0);
    }
}

async function playItems({ gateways, record, sleep, waitFor, hasTrouble }) {
    const trainer = createTrainer({ gateways, record, sleep });
    const job = createBatchJob({ id: "7c41e09b52d6a3f8", items });
    await trainer.submit(job);
    const countRuns = () => samplers.reduce((sum, { sampler }) => sum + sampler.runs.length, 0);
    await waitFor(() => countRuns() >= items / 2, 10_000, "runs of items");
    if (hasTrouble) {
        await sleep(resetAfterMs);
        record({ event: "connectionsReset", runs: countRuns() });
        resetHalf(true);
    }
    const results = await trainer.readAll(job.id, items, readLimitMs);
    await trainer.end(job.id);
    if (results.length < items) {
        throw new Error(`only ${results.length} of ${items} items are listed`);
    }
    results.forEach(({ id, state, output, versions }) =>
        record({ event: "result", id, state, events: output.split("\n").length, versions })
    );
    return results.filter(({ id, state, output }) => state === "completed" && output !== outputOf(id))
        .map(({ id, output }) => ({ rule: "MIXED", id, events: output.split("\n").length, of: events }));
}

async function playPlain({ gateways, record, sleep, hasTrouble }) {
    const [{ host, clientPort: port }] = gateways;
    const sent = Array.from({ length: plainRequests }, async (_, index) => {
        const requestId = `9c41d07be2a35f6${index}`;
        const headers = {
            "host": site.host,
            "auburnarch-request-id": requestId,
            "auburnarch-deadline-ms": "2000",
        };
        const answer = await sendCall({
            host,
            port,
            method: "POST",
            path: `${site.plainPath}2f`,
            headers,
            body: `tile ${index}`,
        });
        return { requestId, ...answer };
    });
    if (hasTrouble) {
        await sleep(60);
        record({ event: "plainConnectionsReset" });
        resetHalf(false);
    }
    const answers = await Promise.all(sent);
    answers.forEach(({ requestId, status, body = "", detail }) =>
        record({ event: "plainAnswer", requestId, status, bytes: body.length, detail })
    );
    return answers
        .filter(({ requestId, status, headers, body }) =>
            status === 200
            && (body !== answerOf(requestId)
                || headers["auburnarch-response-signature"] !== signatureOf(requestId))
        )
        .map(({ requestId, body }) => ({
            rule: "MIXED",
            requestId,
            bytes: body.length,
            of: answerOf(requestId).length,
        }));
}

await runCase({
    recordPath: fileURLToPath(new URL("record.txt", import.meta.url)),
    gateways: 3,
    runners: 3,
    prepare: async bed => {
        samplers = await prepareSite(bed, {
            modelSamplers: 2,
            plainSamplers: 2,
            sampler: { hasLength: false, events },
        });
    },
    play: async bed => [...await playItems(bed), ...await playPlain(bed)],
});
