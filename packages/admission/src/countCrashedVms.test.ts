import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { VmId } from "@auburnarch/types/VmId";
import { expect, test } from "vitest";
import { countCrashedVms } from "./countCrashedVms.js";

/** Each death is written `vm/start`. */
const recordOf = (digest: string, deaths: string[]): QuarantineRecord => ({
    digest: digest as ContentDigest,
    deaths: deaths.map(death => {
        const [vm, bootId] = death.split("/") as [string, string];
        return { vm: vm as VmId, bootId, atMs: 1 };
    }),
    expiresAtMs: 1_000,
    liftedAtMs: undefined,
});

// Guards against: an innocent content is refused everywhere, and the steps that hold it never end.
test.each([
    ["alone at two deaths", { x: ["1/a", "2/b"] }, { x: 2 }],
    ["two deaths on one VM", { x: ["1/a", "1/b"] }, { x: 1 }],
    ["a bystander of one death", { killer: ["1/a", "2/b"], x: ["1/a"] }, { killer: 2, x: 1 }],
    ["both at the same deaths", { x: ["1/a", "2/b"], y: ["1/a", "2/b"] }, { x: 1, y: 1 }],
    ["a bystander of two killers", {
        k: ["1/a", "3/c", "2/d"],
        l: ["1/e", "2/b", "3/f"],
        x: ["1/a", "2/b"],
    }, { k: 3, l: 3, x: 1 }],
    ["a bystander, and an ordinary crash", { k: ["1/a", "2/b", "3/c"], x: ["1/a", "2/z"] }, { k: 3, x: 1 }],
    ["each beside another", { k: ["1/a", "2/b"], x: ["2/b", "3/c"], y: ["1/a", "3/c"] }, {
        k: 1,
        x: 1,
        y: 1,
    }],
])("deaths that count: %s", (_name, deaths, expected) => {
    const records = Object.entries(deaths).map(([digest, list]) => recordOf(digest, list));
    const counted = records.map(record => [record.digest, countCrashedVms(record, records, 2)]);
    expect(Object.fromEntries(counted)).toEqual(expected);
});
