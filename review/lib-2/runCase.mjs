import { createDeployment } from "./createDeployment.mjs";
import { createRecord } from "./createRecord.mjs";
import { createStore } from "./createStore.mjs";

const held = 0;
const broken = 1;
const notRun = 2;
const startLimitMs = 20_000;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

async function waitFor(isDone, limitMs, what) {
    const endMs = performance.now() + limitMs;
    while (!isDone()) {
        if (performance.now() > endMs) {
            throw new Error(`not reached in time: ${what}`);
        }
        await sleep(20);
    }
}

/**
 * Runs a case and ends the process with its result: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 * `prepare` writes configuration and samplers to the store before the programs start; `play` returns the breaches.
 */
export async function runCase({ recordPath, gateways, runners, prepare, play }) {
    const record = createRecord(recordPath);
    const closers = [];
    let result = notRun;
    try {
        const store = await createStore("127.0.0.1");
        closers.push(() => store.close());
        const bed = {
            store,
            record: record.add,
            sleep,
            waitFor,
            closers,
            hasTrouble: process.env.TROUBLE !== "0",
        };
        await prepare(bed);
        const deployment = await createDeployment({ store, gateways, runners, record: record.add });
        closers.push(() => deployment.close());
        await waitFor(() => deployment.processes.every(each => each.hasStarted()), startLimitMs, "start");
        const breaches = await play({ ...bed, ...deployment });
        breaches.forEach(breach => record.add({ event: "breach", ...breach }));
        record.add({ event: "end", breaches: breaches.length });
        result = breaches.length > 0 ? broken : held;
    }
    catch (error) {
        record.add({ event: "notRun", detail: String(error?.stack ?? error) });
        result = notRun;
    }
    for (const close of closers.reverse()) {
        await close();
    }
    await record.write();
    process.exit(result);
}
