// Runners end by themselves, again and again, when an answer to a reward call breaks off in the middle of its stream.
// The route's streams may be resumed, so its requests may be repeated.
import { fileURLToPath } from "node:url";
import { encodeBatchJob, endBatchJob, readBatchJob, submitBatchJob } from "../lib/batchJobs.mjs";
import {
    encodeConfiguration,
    engineService,
    plainRoute,
    plainService,
    rolloutRoute,
} from "../lib/configuration.mjs";
import { createBed, runCase, sleep, waitFor } from "../lib/createBed.mjs";

const withTrouble = process.env.TROUBLE !== "0";
const models = ["daka510000", "daka510001"];
const steps = 12;
const stepMs = 4_000;
/** One of the two scoring samplers breaks off every 25th of its answers: 4 in 100, twice the share of the sheets. */
const cutEach = 25;
/** The rule: processes end by themselves three times on a tenth of the machines in use, two at least. */
const maxEnds = 3;
const minMachines = 2;

await runCase(async () => {
    const bed = await createBed({ folder: fileURLToPath(new URL(".", import.meta.url)) });
    const routes = [
        ...models.map((model, index) =>
            rolloutRoute({ name: `roll-${index}`, prefix: `/roll${index}/`, service: "engines" })
        ),
        plainRoute({ name: "score", prefix: "/score/", service: "score", streaming: true, resumable: true }),
    ];
    const services = [engineService("engines", models), plainService("score")];
    bed.store.put("config", "main", encodeConfiguration({ version: 3, routes, services }));
    await Promise.all(
        ["i-1", "i-2", "i-3", "i-4"].map(id =>
            bed.startSampler({ id, service: "engines", models, eventIntervalMs: 20 })
        ),
    );
    await bed.startSampler({
        id: "i-score1",
        service: "score",
        streamsAnswers: true,
        ...(withTrouble ? { cutEach } : {}),
    });
    await bed.startSampler({ id: "i-score2", service: "score", streamsAnswers: true });
    const gateways = await Promise.all([0, 1].map(index => bed.startProgram("gateway", index)));
    const runners = await Promise.all([0, 1].map(index => bed.startProgram("runner", index)));
    if (!await waitFor(() => [...gateways, ...runners].every(each => each.hasStarted), 15_000)) {
        throw new Error("a program did not start");
    }
    await sleep(3_000);

    async function runStep(index, step) {
        const job = `${index}e${step.toString(16)}`;
        const path = `/roll${index}/`;
        const items = Array.from({ length: 40 }, (_, item) => `${job}a${item}`);
        const body = encodeBatchJob({
            path,
            job,
            model: models[index],
            step,
            items,
            events: 15,
            score: "/score/1",
        });
        if (await submitBatchJob(bed, gateways[index], { path, job, body }) !== 202) {
            return { accepted: 0, read: 0 };
        }
        const { results } = await readBatchJob(bed, gateways, { job, timeoutMs: 12_000 });
        await endBatchJob(bed, gateways[index], job);
        return { accepted: items.length, read: results.length };
    }

    const running = [];
    for (let step = 0; step < steps; step++) {
        running.push(...models.map((_, index) => runStep(index, step)));
        await sleep(stepMs);
    }
    const ended = await Promise.all(running);
    const accepted = ended.reduce((sum, each) => sum + each.accepted, 0);
    const read = ended.reduce((sum, each) => sum + each.read, 0);
    const ends = [...gateways, ...runners].map(({ name }) =>
        bed.exits.filter(exit => exit.name === name).length
    );
    const machines = ends.filter(count => count >= maxEnds).length;
    const needed = Math.max(minMachines, Math.ceil((gateways.length + runners.length) / 10));
    bed.record("judged", { ends, machines, needed, accepted, read });
    await bed.close();
    return {
        isBroken: machines >= needed,
        summary: `ends by themselves, by machine: ${
            ends.join(", ")
        }; items accepted ${accepted}, read ${read}`,
    };
});
