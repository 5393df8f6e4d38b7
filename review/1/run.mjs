// A batch job is refused with 503 at each attempt of its client, and runs: the answer to the write that accepts it is
// lost, and the store refuses the read that should tell whether it was carried out.
import { fileURLToPath } from "node:url";
import { encodeBatchJob, submitBatchJob } from "../lib/batchJobs.mjs";
import {
    encodeConfiguration,
    engineService,
    plainRoute,
    plainService,
    rolloutRoute,
} from "../lib/configuration.mjs";
import { createBed, runCase, sleep, waitFor } from "../lib/createBed.mjs";

const withTrouble = process.env.TROUBLE !== "0";
const model = "daka510000";
const path = "/roll/";
const job = "7c41";
/** Time for which the store refuses all calls of the system's machines. */
const busyMs = 3_000;
/** A client sends a batch job once more after a refusal, as the sheets say. */
const attempts = 2;

/**
 * The store's part in the disruption: the answer to the second creating write of the submission is lost with its
 * connection, and from then on the store is busy for some seconds.
 */
function createTrouble() {
    let isArmed = false;
    let writes = 0;
    let busyUntilMs = 0;
    return {
        arm: () => {
            isArmed = withTrouble;
        },
        fateOf: ({ method }) => {
            if (Date.now() < busyUntilMs) {
                return "busy";
            }
            writes += isArmed && method === "POST" ? 1 : 0;
            if (writes < 2) {
                return "served";
            }
            isArmed = false;
            writes = 0;
            busyUntilMs = Date.now() + busyMs;
            return "answerLost";
        },
    };
}

await runCase(async () => {
    const trouble = createTrouble();
    const bed = await createBed({
        folder: fileURLToPath(new URL(".", import.meta.url)),
        fateOf: trouble.fateOf,
    });
    const routes = [
        rolloutRoute({ name: "roll", prefix: path, service: "engines" }),
        plainRoute({ name: "score", prefix: "/score/", service: "score" }),
    ];
    const services = [engineService("engines", [model]), plainService("score")];
    bed.store.put("config", "main", encodeConfiguration({ version: 3, routes, services }));
    const engines = await Promise.all(
        ["i-1", "i-2"].map(id => bed.startSampler({ id, service: "engines", models: [model] })),
    );
    await bed.startSampler({ id: "i-score", service: "score" });
    const gateways = await Promise.all([0, 1].map(index => bed.startProgram("gateway", index)));
    const runners = await Promise.all([0, 1].map(index => bed.startProgram("runner", index)));
    if (!await waitFor(() => [...gateways, ...runners].every(each => each.hasStarted), 15_000)) {
        throw new Error("a program did not start");
    }
    await sleep(4_000);

    const items = Array.from({ length: 8 }, (_, index) => `${job}${index}`);
    const body = encodeBatchJob({ path, job, model, items, events: 20, score: "/score/1" });
    const statuses = [];
    trouble.arm();
    for (
        let attempt = 0;
        attempt < attempts && statuses.every(status => status === 429 || status === 503);
        attempt++
    ) {
        statuses.push(await submitBatchJob(bed, gateways[attempt], { path, job, body }));
        await sleep(300);
    }
    await sleep(busyMs + 8_000);
    const runs = engines.flatMap(sampler => sampler.runs).length;
    const isRefused = statuses.every(status => status === 429 || status === 503);
    bed.record("judged", { statuses, runs });
    await bed.close();
    return {
        isBroken: isRefused && runs > 0,
        summary: `the client's attempts were answered ${statuses.join(", ")}; items that ran: ${runs}`,
    };
});
