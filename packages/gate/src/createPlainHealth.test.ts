import type { ContentDigest } from "@auburnarch/types/ContentDigest";
import type { VmId } from "@auburnarch/types/VmId";
import { expect, test } from "vitest";
import { createPlainHealth } from "./createPlainHealth.js";
import { createSuspects } from "./createSuspects.js";

const poison = "poison" as ContentDigest;
const other = "other" as ContentDigest;

test("a break makes nobody suspect; a break followed by a refused connection does, until a clean answer", () => {
    // Guards against: one request takes plain services down one after the other.
    let nowMs = 10_000;
    const suspects = createSuspects({ vm: "vm-1" as VmId, nowMs: () => nowMs });
    const health = createPlainHealth({ nowMs: () => nowMs, suspects, incarnation: "inc" });
    health.noteBroken(other);
    nowMs += 10_000;
    health.noteBroken(poison);
    expect(suspects.list()).toEqual([]);
    health.noteRefused();
    expect(suspects.list()).toEqual([{ digest: poison, deaths: [{ vm: "vm-1", bootId: "inc-1" }] }]);
    expect(health.isDown()).toBe(true);
    nowMs += 1_000;
    expect(health.isDown()).toBe(false);
    // The refused connection of the same death names nobody again.
    health.noteRefused();
    expect(suspects.list()[0]!.deaths).toHaveLength(1);
    health.noteAnswered(poison);
    expect([suspects.list(), health.isDown()]).toEqual([[], false]);
});
