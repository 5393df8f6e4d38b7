// Items of a batch job are run by a service to which no configuration ever sent their route, after the configuration has
// split another part off that route.
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
const model = "daka510000";
const services = [
    engineService("engines-a", [model]),
    engineService("engines-b", [model]),
    plainService("score"),
];
const wholeRoute = rolloutRoute({ name: "roll", prefix: "/roll/", service: "engines-a" });
const splitRoute = rolloutRoute({ name: "roll-east", prefix: "/roll/east/", service: "engines-b" });
const scoreRoute = plainRoute({ name: "score", prefix: "/score/", service: "score" });
/** A configuration is in force `config-apply-ms` (2 s) after the store has accepted it. */
const applyMs = 2_000;

async function runJob(bed, gateways, path, job) {
    const items = Array.from({ length: 8 }, (_, index) => `${job}${index}`);
    const body = encodeBatchJob({ path, job, model, items, events: 20, score: "/score/1" });
    const status = await submitBatchJob(bed, gateways[0], { path, job, body });
    if (status !== 202) {
        throw new Error(`batch job ${job} was answered ${status}`);
    }
    const { results } = await readBatchJob(bed, gateways, { job, timeoutMs: 15_000 });
    await endBatchJob(bed, gateways[1], job);
    return results.length;
}

await runCase(async () => {
    const bed = await createBed({ folder: fileURLToPath(new URL(".", import.meta.url)) });
    const configure = (version, routes) => {
        bed.store.put("config", "main", encodeConfiguration({ version, routes, services }));
        bed.record("operator.configured", {
            version,
            routes: routes.map(each => [each["path-prefix"], each.service]),
        });
    };
    configure(3, [wholeRoute, scoreRoute]);
    const a = [1, 2].map(each =>
        bed.startSampler({ id: `i-a${each}`, service: "engines-a", models: [model] })
    );
    const b = [1, 2].map(each =>
        bed.startSampler({ id: `i-b${each}`, service: "engines-b", models: [model] })
    );
    await bed.startSampler({ id: "i-score", service: "score" });
    const [samplersA, samplersB] = [await Promise.all(a), await Promise.all(b)];
    const gateways = await Promise.all([0, 1].map(index => bed.startProgram("gateway", index)));
    const runners = await Promise.all([0, 1].map(index => bed.startProgram("runner", index)));
    if (!await waitFor(() => [...gateways, ...runners].every(each => each.hasStarted), 15_000)) {
        throw new Error("a program did not start");
    }
    await sleep(3_000);

    const first = await runJob(bed, gateways, "/roll/east/", "e1");
    if (withTrouble) {
        configure(7, [wholeRoute, splitRoute, scoreRoute]);
    }
    await sleep(2 * applyMs);
    const second = await runJob(bed, gateways, "/roll/west/", "w2");
    const isOfWest = run => run.path.startsWith("/roll/west/");
    const right = samplersA.flatMap(sampler => sampler.runs).filter(isOfWest).length;
    const wrong = samplersB.flatMap(sampler => sampler.runs).filter(isOfWest).length;
    bed.record("judged", { first, second, right, wrong });
    await bed.close();
    if (first < 8 || second < 8) {
        throw new Error(`results read: ${first} and ${second} of 8`);
    }
    return {
        isBroken: wrong > 0,
        summary: `runs of /roll/west/ at engines-a (its only service): ${right}, at engines-b: ${wrong}`,
    };
});
