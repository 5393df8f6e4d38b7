import { expect, test } from "vitest";
import { simulateUsageReports } from "../testing/simulateUsageReports.js";

const leaseMs = 3_000;
const lengthMs = 20_000;
const faults = 8;
/** Runs of each test; `USAGE_RUNS` sets another number. */
const runs = Number(process.env["USAGE_RUNS"] ?? 250);

type Calls = Awaited<ReturnType<typeof simulateUsageReports>>["calls"];

/** Windows whose accepted reports have different counts. */
function differing(calls: Calls): string[] {
    const counts = new Map<number, string>();
    return calls.filter(call => call.isAccepted).flatMap(call => {
        const before = counts.get(call.window) ?? call.counts;
        counts.set(call.window, before);
        return before === call.counts ? [] : [`window ${call.window}: ${before} then ${call.counts}`];
    });
}

/** Calls with a lower fencing number than an earlier call, or with the number of another holder. */
function outOfOrder(calls: Calls): string[] {
    const holders = new Map<number, string>();
    let highest = 0;
    return calls.flatMap(call => {
        const holder = holders.get(call.fencing) ?? call.holder;
        holders.set(call.fencing, holder);
        const isLower = call.fencing < highest && !call.isAfterPause;
        highest = Math.max(highest, call.fencing);
        return isLower || holder !== call.holder
            ? [`${call.holder} with ${call.fencing} after ${highest} of ${holder} at ${call.atMs}`]
            : [];
    });
}

/** Holders that alternate within the duration of one lease. */
function alternations(calls: Calls): string[] {
    const judged = calls.filter(call => !call.isAfterPause);
    return judged.flatMap((call, index) => {
        const within = judged.slice(0, index).filter(earlier => call.atMs - earlier.atMs < leaseMs);
        const between = within.findIndex(earlier => earlier.holder === call.holder);
        const isTurn = between >= 0 && within.slice(between).some(other => other.holder !== call.holder);
        return isTurn ? [`${call.holder} again at ${call.atMs}`] : [];
    });
}

async function simulateAll(
    seeds: number[],
    alwaysActs: boolean,
    judge: (calls: Calls) => string[],
): Promise<string[]> {
    const violations: string[] = [];
    for (const seed of seeds) {
        const { calls } = await simulateUsageReports({ seed, faults, lengthMs, alwaysActs });
        const found = judge(calls);
        violations.push(...found.map(fault => `seed ${seed}: ${fault}`));
    }
    return violations;
}

const seedsFrom = (first: number, count: number): number[] =>
    Array.from({ length: count }, (_, index) => first + index);

test("each window is reported in time if nothing fails", async () => {
    const { calls, dueWindows } = await simulateUsageReports({
        seed: 1,
        faults: 0,
        lengthMs,
        alwaysActs: false,
    });
    expect(calls.map(call => call.window).slice(0, dueWindows.length)).toEqual(dueWindows);
    expect(calls.every(call => call.isAccepted)).toBe(true);
    expect(new Set(calls.map(call => call.holder)).size).toBe(1);
});

test("no window gets two different reports and holders never alternate, whatever fails", async () => {
    // Guards against a team being charged twice, or by a process that has been replaced.
    const judge = (calls: Calls): string[] => [
        ...differing(calls),
        ...outOfOrder(calls),
        ...alternations(calls),
    ];
    expect(await simulateAll(seedsFrom(1_000, runs), false, judge)).toEqual([]);
});

test("runners that all assume to hold the duty send identical reports of each window", async () => {
    // Guards against a lease that is assumed valid for too long changing what teams are charged.
    expect(await simulateAll(seedsFrom(9_000, runs), true, differing)).toEqual([]);
});
