import type { GroupStore } from "@auburnarch/types/GroupStore";
import { expect, test } from "vitest";
import { createGroupStoreMethods } from "./createGroupStoreMethods.js";
import { createReplicatedGroupStore } from "./createReplicatedGroupStore.js";
import type { GroupStoreHost } from "./GroupStoreHost.js";
import { createTestContext } from "./testing/createTestContext.js";

type StoredGroup = Parameters<GroupStore["save"]>[0];

function createMemoryGroupStore(): GroupStore {
    let records: StoredGroup[] = [];
    return {
        save: async record => void records.push(record),
        load: async (job, step) => records.filter(each => each.job === job && each.step === step),
        drop: async (_job, step, groups) => {
            records = records.filter(each => each.step !== step || !groups.includes(each.group));
        },
    };
}

const hostOf = (entry: string): GroupStoreHost => ({ entry, address: `http://${entry}` });
const record = (group: number, fencing: number, body: string): StoredGroup => ({
    job: "forecast",
    step: 1,
    group,
    fencing,
    body,
});

function createFixture(names: string[]) {
    const context = createTestContext();
    const unreachable = new Set<string>();
    const groupStores = new Map(names.map(name => [name, createMemoryGroupStore()]));
    const shared = createReplicatedGroupStore({
        self: "owner",
        local: undefined,
        listHosts: () => names.filter(name => !unreachable.has(name)).map(hostOf),
        callPeer: async (address, method, params) => {
            const name = address.slice("http://".length);
            if (unreachable.has(name)) {
                throw new Error("no connection");
            }
            return createGroupStoreMethods(groupStores.get(name))[method]!(
                JSON.parse(JSON.stringify(params)),
            );
        },
        logger: context.logger,
    });
    return { ...context, shared, groupStores, unreachable };
}

test("all groups can be loaded while one of the hosts is unreachable", async () => {
    // Guards against generating a whole step again when one VM with a data folder fails together with the owner.
    const { shared, unreachable, lines } = createFixture(["a", "b", "c"]);
    await shared.save(record(0, 3, "zero"));
    await shared.save(record(1, 3, "one"));
    for (const name of ["a", "b", "c"]) {
        unreachable.add(name);
        expect((await shared.load("forecast", 1)).map(each => each.body)).toEqual(["zero", "one"]);
        unreachable.delete(name);
    }
    expect(lines).toEqual([]);
});

test("of two copies of a group the one with the higher fencing number is loaded", async () => {
    // Guards against delivering samples that the current owner has not verified.
    const { shared, groupStores } = createFixture(["a", "b"]);
    await groupStores.get("a")!.save(record(0, 4, "successor"));
    await groupStores.get("b")!.save(record(0, 3, "lapsed"));
    expect(await shared.load("forecast", 1)).toMatchObject([{ group: 0, fencing: 4, body: "successor" }]);
});

test("failing hosts cause a log line for a group without copies, and no call rejects", async () => {
    const { shared, groupStores, lines } = createFixture(["a", "b"]);
    const fail = () => Promise.reject(new Error("disk full"));
    groupStores.forEach(groupStore => Object.assign(groupStore, { save: fail, load: fail, drop: fail }));
    await shared.save(record(7, 1, "seven"));
    await shared.drop("forecast", 1, [7]);
    expect(await shared.load("forecast", 1)).toEqual([]);
    expect(lines).toEqual(["level=warn event=groupNotKept job=forecast step=1 group=7 keepers=2"]);
});
