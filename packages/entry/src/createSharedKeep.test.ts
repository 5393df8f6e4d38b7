import type { GroupKeep } from "@auburnarch/types/GroupKeep";
import { expect, test } from "vitest";
import { createKeepDesk } from "./createKeepDesk.js";
import { createSharedKeep } from "./createSharedKeep.js";
import type { Keeper } from "./Keeper.js";
import { createTestBench } from "./testing/createTestBench.js";

type KeepRecord = Parameters<GroupKeep["save"]>[0];

function createMemoryKeep(): GroupKeep {
    let records: KeepRecord[] = [];
    return {
        save: async record => void records.push(record),
        load: async (job, step) => records.filter(each => each.job === job && each.step === step),
        drop: async (_job, step, groups) => {
            records = records.filter(each => each.step !== step || !groups.includes(each.group));
        },
    };
}

const keeper = (entry: string): Keeper => ({ entry, address: `http://${entry}` });
const record = (group: number, fencing: number, body: string): KeepRecord => ({
    job: "forecast",
    step: 1,
    group,
    fencing,
    body,
});

function createBed(names: string[]) {
    const bench = createTestBench();
    const gone = new Set<string>();
    const keeps = new Map(names.map(name => [name, createMemoryKeep()]));
    const shared = createSharedKeep({
        self: "owner",
        local: undefined,
        listKeepers: () => names.filter(name => !gone.has(name)).map(keeper),
        callPeer: async (address, method, params) => {
            const name = address.slice("http://".length);
            if (gone.has(name)) {
                throw new Error("no connection");
            }
            return createKeepDesk(keeps.get(name))[method]!(JSON.parse(JSON.stringify(params)));
        },
        logger: bench.logger,
    });
    return { ...bench, shared, keeps, gone };
}

test("one of two keepers vanishes together with the owner", async () => {
    // Guards against: a whole step is generated again.
    const { shared, gone, lines } = createBed(["a", "b", "c"]);
    await shared.save(record(0, 3, "zero"));
    await shared.save(record(1, 3, "one"));
    for (const name of ["a", "b", "c"]) {
        gone.add(name);
        expect((await shared.load("forecast", 1)).map(each => each.body)).toEqual(["zero", "one"]);
        gone.delete(name);
    }
    expect(lines).toEqual([]);
});

test("of two copies of a group the one with the higher fencing number counts", async () => {
    // Guards against: a trainer gets samples that the owner never verified.
    const { shared, keeps } = createBed(["a", "b"]);
    await keeps.get("a")!.save(record(0, 4, "successor"));
    await keeps.get("b")!.save(record(0, 3, "lapsed"));
    expect(await shared.load("forecast", 1)).toMatchObject([{ group: 0, fencing: 4, body: "successor" }]);
});

test("keepers fail: the lost copies are logged and nothing rejects", async () => {
    const { shared, keeps, lines } = createBed(["a", "b"]);
    const fail = () => Promise.reject(new Error("disk full"));
    keeps.forEach(keep => Object.assign(keep, { save: fail, load: fail, drop: fail }));
    await shared.save(record(7, 1, "seven"));
    await shared.drop("forecast", 1, [7]);
    expect(await shared.load("forecast", 1)).toEqual([]);
    expect(lines).toEqual(["level=warn event=groupNotKept job=forecast step=1 group=7 keepers=2"]);
});
