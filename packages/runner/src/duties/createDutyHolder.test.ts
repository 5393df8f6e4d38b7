import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import { createRandom } from "@auburnarch/clock/createRandom";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createPausableProcess } from "@auburnarch/fakes/createPausableProcess";
import { createInvariants } from "@auburnarch/invariants/createInvariants";
import { createLeaseManager } from "@auburnarch/lease/createLeaseManager";
import type { Logger } from "@auburnarch/types/Logger";
import { expect, test } from "vitest";
import { createDutyHolder } from "./createDutyHolder.js";

const leaseTtlMs = 2_500;
const handOverMs = 3_000;
const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };

function createFixture() {
    const clock = createFakeClock();
    const { store } = createFakeObjectStore({ clock, random: createRandom(3), latencyMs: 2 });
    const calls: { holder: string; atMs: number; }[] = [];
    let seed = 10;

    /** Starts a process that calls its target whenever it may; it is killed by pausing it for good. */
    function startProcess(holder: string) {
        const process = createPausableProcess(clock, store);
        const leases = createLeaseManager({
            store: process.store,
            clock: process.clock,
            random: createRandom(seed++),
            logger: silent,
            invariants: createInvariants(silent, () => {
                throw new Error("invariant violated");
            }),
            holder,
            ttlMs: leaseTtlMs,
            resumesOwnLeases: true,
        });
        const duties = createDutyHolder({
            leases,
            leaseTtlMs,
            areClocksTrusted: () => true,
            handOverMs,
            duties: [({ mayAct }) => ({
                round: () => {
                    if (mayAct()) {
                        calls.push({ holder, atMs: clock.monotonicMs() });
                    }
                },
                stop: () => undefined,
            })],
            clock: process.clock,
            logger: silent,
        });
        return { isHeld: duties.isHeld, stop: duties.stop, kill: process.pause };
    }

    /** Time between the last call of one holder and the first of the other. */
    function gapMs(from: string, to: string): number {
        const last = calls.filter(call => call.holder === from).at(-1)!;
        return calls.find(call => call.holder === to)!.atMs - last.atMs;
    }

    return { clock, startProcess, gapMs, calls };
}

async function measureGap(restarts: boolean): Promise<number> {
    const { clock, startProcess, gapMs } = createFixture();
    const first = startProcess("vm-1");
    await clock.advance(5_000);
    const second = startProcess("vm-2");
    void first.stop();
    await clock.runUntil(second.isHeld, 5_000);
    if (restarts) {
        await clock.advance(500);
        second.kill();
        await clock.advance(300);
        startProcess("vm-2");
    }
    await clock.advance(10_000);
    return gapMs("vm-1", "vm-2");
}

// Guards against a sampler that gets orders of two holders, or a window two reports, within the hand-over time.
test("a holder waits after another one has left", async () => {
    expect(await measureGap(false)).toBeGreaterThanOrEqual(handOverMs);
});

test("a holder that is killed while it waits and started again still waits", async () => {
    expect(await measureGap(true)).toBeGreaterThanOrEqual(handOverMs);
});

test("a holder that is killed after its wait and started again acts at once", async () => {
    const { clock, startProcess, calls } = createFixture();
    const process = startProcess("vm-1");
    await clock.advance(5_000);
    process.kill();
    const killedAtMs = clock.monotonicMs();
    startProcess("vm-1");
    await clock.advance(10_000);
    expect(calls.find(({ atMs }) => atMs > killedAtMs)!.atMs - killedAtMs).toBeLessThan(handOverMs / 10);
});
