import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import type { TeamId } from "@auburnarch/types/TeamId";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createStartCountRegistry } from "./createStartCountRegistry.js";
import { createStartMeter } from "./createStartMeter.js";

const windowMs = 5_000;
const hule = "hule" as TeamId;
const fida = "fida" as TeamId;

function createFixture() {
    const clock = createFakeClock(1_000_000);
    const trueTime = { nowMs: clock.wallMs, atMs: (ms: number) => ms + clock.wallMs() - clock.monotonicMs() };
    const meterOf = (source: string) => createStartMeter({ source, windowMs, trueTime, clock });
    return { clock, meterOf, registry: createStartCountRegistry(clock) };
}

test("a request counts for the window in which it began, even if it ends in a later one", async () => {
    const { clock, meterOf, registry } = createFixture();
    const meter = meterOf("g1");
    await clock.advance(4_900);
    const end = meter.open(hule);
    const startedAtMs = clock.monotonicMs();
    await clock.advance(300);
    registry.merge(meter.report());
    expect(registry.isCountedUntil(1_005_000)).toBe(false);
    end(startedAtMs);
    meter.open(fida)(undefined);
    registry.merge(meter.report());
    expect(registry.isCountedUntil(1_005_000)).toBe(true);
    expect([...registry.countsOf(200)]).toEqual([["hule", 1]]);
    expect([...registry.countsOf(201)]).toEqual([]);
});

test("a window sums the latest counts of all processes, even if reports are repeated, lost or out of order", () => {
    const picks = fc.array(fc.nat(40), { maxLength: 60 });
    fc.assert(
        fc.property(fc.array(fc.nat(1), { minLength: 1, maxLength: 20 }), picks, (processes, order) => {
            const { clock, meterOf, registry } = createFixture();
            const meters = [meterOf("g1"), meterOf("g2")];
            const reports = processes.map(index => {
                const meter = meters[index]!;
                meter.open(hule)(clock.monotonicMs());
                return meter.report();
            });
            order.forEach(pick => registry.merge(reports[pick % reports.length]!));
            meters.forEach(meter => registry.merge(meter.report()));
            expect(registry.countsOf(200).get(hule)).toBe(processes.length);
        }),
        { seed: 31, numRuns: 300 },
    );
});

test("a process that stops reporting is not waited for, and its counts are kept", async () => {
    const { clock, meterOf, registry } = createFixture();
    const [silent, reporting] = [meterOf("dead"), meterOf("live")];
    silent.open(hule)(clock.monotonicMs());
    registry.merge(silent.report());
    await clock.advance(8_000);
    registry.merge(reporting.report());
    expect(registry.isCountedUntil(1_005_000)).toBe(true);
    expect([...registry.countsOf(200)]).toEqual([["hule", 1]]);
});

test("a registry passes all its reports on to another one", () => {
    const { clock, meterOf, registry } = createFixture();
    const meter = meterOf("g1");
    meter.open(hule)(clock.monotonicMs());
    registry.merge(meter.report());
    const other = createStartCountRegistry(clock);
    registry.reports().forEach(report => other.merge(report));
    expect([...other.countsOf(200)]).toEqual([["hule", 1]]);
});
