import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { VmId } from "@auburnarch/types/VmId";
import { expect, test } from "vitest";
import { createPlainHealth } from "./createPlainHealth.js";
import { createSuspects } from "./createSuspects.js";

const crashInducing = "poison" as ContentDigest;
const unrelated = "other" as ContentDigest;

test("a broken connection makes a request suspect only if a refused one follows, until a clean response", () => {
    // Guards against one request that crashes plain services one after the other.
    let nowMs = 10_000;
    const suspects = createSuspects({ vm: "vm-1" as VmId, nowMs: () => nowMs });
    const health = createPlainHealth({ nowMs: () => nowMs, suspects, incarnation: "inc" });
    health.recordBrokenConnection(unrelated);
    nowMs += 10_000;
    health.recordBrokenConnection(crashInducing);
    expect(suspects.list()).toEqual([]);
    health.recordRefusedConnection();
    expect(suspects.list()).toEqual([{ digest: crashInducing, deaths: [{ vm: "vm-1", bootId: "inc-1" }] }]);
    expect(health.isDown()).toBe(true);
    nowMs += 1_000;
    expect(health.isDown()).toBe(false);
    // Another refused connection of the same crash adds no suspect.
    health.recordRefusedConnection();
    expect(suspects.list()[0]!.deaths).toHaveLength(1);
    health.recordAnswer(crashInducing);
    expect([suspects.list(), health.isDown()]).toEqual([[], false]);
});
