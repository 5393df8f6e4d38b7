import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createPausableProcess } from "@auburnarch/fakes/createPausableProcess";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import type { Logger } from "@auburnarch/types/Logger";
import { expect, test } from "vitest";
import { createLeaseManager } from "./createLeaseManager.js";

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const key = "leases/job/plume";
const neverAborted = new AbortController().signal;

function createFixture(seed: number) {
    const clock = createFakeClock();
    const fake = createFakeObjectStore({ clock, random: createRandom(seed), latencyMs: 3 });
    const managerOf = (n: number, process: ReturnType<typeof createPausableProcess>) =>
        createLeaseManager({
            store: process.store,
            clock: process.clock,
            random: createRandom(seed * 100 + n),
            logger: silent,
            invariants: createInvariants(silent, () => {}),
            holder: `entry-${n}`,
        });
    const startProcess = () => createPausableProcess(clock, fake.store);
    return { clock, ...fake, managerOf, startProcess };
}

async function takeOver(seed: number, graceful: boolean): Promise<number> {
    const { clock, managerOf, startProcess } = createFixture(seed);
    const process = startProcess();
    let second = false;
    const first = managerOf(1, process).acquire(key, neverAborted);
    await clock.advance(100);
    void managerOf(2, startProcess()).acquire(key, neverAborted).then(() => (second = true));
    await clock.advance(7_000 + seed * 37);
    const endedAtMs = clock.monotonicMs();
    if (graceful) {
        void (await first)!.release();
    }
    else {
        process.pause();
    }
    await clock.runUntil(() => second, 60_000);
    return clock.monotonicMs() - endedAtMs;
}

const summary = (values: number[]) => {
    const sorted = [...values].sort((a, b) => a - b);
    const at = (part: number): number => Math.round(sorted[Math.floor((sorted.length - 1) * part)]!);
    return { min: at(0), p50: at(0.5), max: at(1) };
};

test("time without a holder and object API calls per lease match the snapshot", async () => {
    const seeds = Array.from({ length: 100 }, (_, n) => n + 1);
    const afterDeathMs = [];
    const afterReleaseMs = [];
    for (const seed of seeds) {
        afterDeathMs.push(await takeOver(seed, false));
        afterReleaseMs.push(await takeOver(seed, true));
    }
    const { clock, control, managerOf, startProcess } = createFixture(1);
    void managerOf(1, startProcess()).acquire(key, neverAborted);
    await clock.advance(100);
    void managerOf(2, startProcess()).acquire(key, neverAborted);
    const before = control.calls();
    await clock.advance(3_600_000);
    const after = control.calls();
    const perHour = {
        writes: after.write - before.write,
        watches: after.watch - before.watch,
        reads: after.read - before.read,
    };
    expect({ afterDeathMs: summary(afterDeathMs), afterReleaseMs: summary(afterReleaseMs), perHour })
        .toMatchSnapshot();
});
