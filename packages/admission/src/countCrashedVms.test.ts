import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { QuarantineRecord } from "@auburnarch/types/QuarantineRecord";
import type { VmId } from "@auburnarch/types/VmId";
import { expect, test } from "vitest";
import { countCrashedVms } from "./countCrashedVms.js";

/** Each crash is given as `vm/bootId`. */
const recordOf = (digest: string, deaths: string[]): QuarantineRecord => ({
    digest: digest as ContentDigest,
    deaths: deaths.map(death => {
        const [vm, bootId] = death.split("/") as [string, string];
        return { vm: vm as VmId, bootId, atMs: 1 };
    }),
    expiresAtMs: 1_000,
    liftedAtMs: undefined,
});

// Guards against a harmless content that is refused everywhere, so that the steps that need it never end.
test.each([
    ["alone at two crashes", { x: ["1/a", "2/b"] }, { x: 2 }],
    ["two crashes on one VM", { x: ["1/a", "1/b"] }, { x: 1 }],
    ["a bystander of one crash", { killer: ["1/a", "2/b"], x: ["1/a"] }, { killer: 2, x: 1 }],
    ["two contents at the same crashes", { x: ["1/a", "2/b"], y: ["1/a", "2/b"] }, { x: 1, y: 1 }],
    ["a bystander of two crash-inducing contents", {
        k: ["1/a", "3/c", "2/d"],
        l: ["1/e", "2/b", "3/f"],
        x: ["1/a", "2/b"],
    }, { k: 3, l: 3, x: 1 }],
    ["a bystander that was also at an unrelated crash", { k: ["1/a", "2/b", "3/c"], x: ["1/a", "2/z"] }, {
        k: 3,
        x: 1,
    }],
    ["three contents, each pair at one crash", { k: ["1/a", "2/b"], x: ["2/b", "3/c"], y: ["1/a", "3/c"] }, {
        k: 1,
        x: 1,
        y: 1,
    }],
])("crashes that count: %s", (_name, deaths, expected) => {
    const records = Object.entries(deaths).map(([digest, list]) => recordOf(digest, list));
    const counted = records.map(record => [record.digest, countCrashedVms(record, records, 2)]);
    expect(Object.fromEntries(counted)).toEqual(expected);
});
