import { codeOf } from "@auburnarch/errors/codeOf";
import type { TeamId } from "@auburnarch/types/TeamId";
import type { TeamManifest } from "@auburnarch/types/TeamManifest";
import fc from "fast-check";
import { createHash } from "node:crypto";
import { v4, v7 } from "uuid";
import { expect, test } from "vitest";
import { authenticate } from "./authenticate.js";
import { createTeamLimit } from "./createTeamLimit.js";
import { keyCreatedAtMs } from "./keyCreatedAtMs.js";
import { rangeCount } from "./rangeCount.js";
import { rangeOf } from "./rangeOf.js";

const digestOf = (token: string): string => createHash("sha256").update(token).digest("hex");
const lugo = "lugo" as TeamId;
const burgos = "burgos" as TeamId;
const teams: TeamManifest[] = [
    { team: lugo, share: 0.5, tokenDigests: [digestOf("old"), digestOf("new")] },
    { team: burgos, share: 0.5, tokenDigests: [digestOf("other"), "", "zz", digestOf("").slice(2)] },
];

function codeName(call: () => unknown): string {
    try {
        call();
        return "ok";
    }
    catch (error) {
        return codeOf(error).name;
    }
}

test("each token of a team authenticates it, also during a rotation; nothing else does", () => {
    expect(authenticate("old", teams)).toBe(lugo);
    expect(authenticate("new", teams)).toBe(lugo);
    expect(authenticate("other", teams)).toBe(burgos);
    for (const token of [undefined, "", "old ", "Old", "zz", digestOf("old")]) {
        expect(codeName(() => authenticate(token, teams))).toBe("unauthenticated");
    }
    expect(codeName(() => authenticate("", [{ team: lugo, share: 1, tokenDigests: [digestOf("")] }]))).toBe(
        "unauthenticated",
    );
});

test("a team's slots are bounded, released only once, and independent of other teams", () => {
    const limit = createTeamLimit({ maxPerTeam: () => 2 });
    const leave = limit.acquire(lugo);
    limit.acquire(lugo);
    expect(codeName(() => limit.acquire(lugo))).toBe("queueFull");
    limit.acquire(burgos);
    leave();
    leave();
    expect(limit.inUse(lugo)).toBe(1);
    limit.acquire(lugo);
    expect(codeName(() => limit.acquire(lugo))).toBe("queueFull");
});

test("a key has a creation time only if it is a UUIDv7", () => {
    fc.assert(
        fc.property(fc.integer({ min: 0, max: 2 ** 47 }), msecs => {
            expect(keyCreatedAtMs(v7({ msecs }))).toBe(msecs);
            expect(keyCreatedAtMs(v7({ msecs }).toUpperCase())).toBe(msecs);
        }),
        { seed: 3 },
    );
    fc.assert(
        fc.property(fc.string(), text => {
            expect(keyCreatedAtMs(text)).toBeUndefined();
        }),
        { seed: 3 },
    );
    expect(keyCreatedAtMs(v4())).toBeUndefined();
});

test("keys are distributed evenly over the ranges, regardless of their creation time", () => {
    const counts = new Array<number>(rangeCount).fill(0);
    const mean = 1_000;
    for (let n = 0; n < mean * rangeCount; n++) {
        counts[rangeOf(v7({ msecs: 1_700_000_000_000 }))]!++;
    }
    const key = v7();
    expect(rangeOf(key.toUpperCase())).toBe(rangeOf(key));
    expect(Math.min(...counts)).toBeGreaterThan(0.8 * mean);
    expect(Math.max(...counts)).toBeLessThan(1.2 * mean);
});
