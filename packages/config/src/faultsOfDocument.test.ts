import { expect, test } from "vitest";
import { faultsOfDocument } from "./faultsOfDocument.js";

test.each([
    ["manifest", { name: "x" }],
    ["quarantine", [{ digest: "a" }]],
    ["quarantine", { records: [{ digest: "a", deaths: "none", expiresAtMs: 1 }] }],
    ["owner/job", { entry: "entry-1" }],
    ["range/3", undefined],
])("document %s with value %j is rejected", (name, value) => {
    expect(faultsOfDocument({ name, version: 1, value })).not.toEqual([]);
});

test.each([
    ["quarantine", {
        records: [{ digest: "a", deaths: [{ vm: "v", bootId: "b", atMs: 1 }], expiresAtMs: 2 }],
    }],
    ["owner/job", { entry: "entry-1", address: "http://10.0.0.1:1", fencing: 4 }],
    ["of-a-newer-release", [1, 2]],
])("document %s with value %j is accepted", (name, value) => {
    expect(faultsOfDocument({ name, version: 1, value })).toEqual([]);
});
