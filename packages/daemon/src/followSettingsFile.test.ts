import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import type { LogFields } from "@auburnarch/types/LogFields";
import type { Logger } from "@auburnarch/types/Logger";
import { expect, test } from "vitest";
import { createLimitedRead } from "./createLimitedRead.js";
import { createSettingsFile } from "./createSettingsFile.js";
import { followSettingsFile } from "./followSettingsFile.js";

const settings = {
    name: "storage-1",
    role: "runner",
    failureDomain: "lugo",
    region: "norte",
    internalHost: "10.0.0.1",
    internalPorts: [7380, 7395],
    storeAddress: "10.0.0.9:80",
    orderHandOverMs: 3_000,
    gracePeriodMs: 8_000,
};
const newAddress = "10.0.0.8:80";
const boundMs = 2_000;
const readLimitMs = 2_000;

async function createFixture() {
    const clock = createFakeClock();
    const state = { text: JSON.stringify(settings), isHanging: false };
    let readsInFlight = 0;
    const lines: string[] = [];
    const record = (event: string, fields: LogFields = {}): void =>
        void lines.push(`${event} ${JSON.stringify(fields)}`);
    const logger: Logger = { info: record, warn: record, error: record, child: () => logger };
    const handlers = new Set<() => void>();
    const read = async (): Promise<string> => {
        readsInFlight++;
        await new Promise<void>(resolve => state.isHanging || resolve());
        readsInFlight--;
        return state.text;
    };
    const opened = await createSettingsFile(read, {
        limitRead: readText => createLimitedRead({ readText, clock, limitMs: readLimitMs }),
    });
    if (opened.kind !== "opened") {
        throw new Error("settings not valid");
    }
    const { file } = opened;
    const follow = () =>
        followSettingsFile({
            file,
            clock,
            logger,
            onSignal: reload => {
                handlers.add(reload);
                return () => void handlers.delete(reload);
            },
        });
    return { clock, state, lines, file, handlers, follow, countReadsInFlight: () => readsInFlight };
}

test.each([9_001, 10_001, 11_001])(
    "a change after %i ms without a signal takes effect within two seconds",
    async afterMs => {
        // Guards against a process that calls the store at an address it has left because a signal was never sent or lost.
        const { clock, state, file, lines, follow } = await createFixture();
        follow();
        await clock.advance(afterMs);
        state.text = JSON.stringify({ ...settings, storeAddress: newAddress });
        await clock.advance(boundMs);
        expect(file.current().storeAddress).toBe(newAddress);
        expect(lines).toEqual(['settingsReloaded {"changed":"storeAddress","atNextStart":""}']);
    },
);

test("a change between the first read and the handler for the signal takes effect", async () => {
    // Guards against a change that is lost because its signal came while the process started.
    const { clock, state, file, follow } = await createFixture();
    state.text = JSON.stringify({ ...settings, storeAddress: newAddress });
    follow();
    await clock.advance(1);
    expect(file.current().storeAddress).toBe(newAddress);
});

test("a read that hangs does not keep a later change from taking effect", async () => {
    // Guards against a process that never reads its settings again after one read of a file system that hangs.
    const { clock, state, file, lines, follow } = await createFixture();
    follow();
    await clock.advance(1);
    state.isHanging = true;
    await clock.advance(1_000);
    state.isHanging = false;
    state.text = JSON.stringify({ ...settings, storeAddress: newAddress });
    await clock.advance(readLimitMs + boundMs);
    expect(file.current().storeAddress).toBe(newAddress);
    expect(lines[0]).toContain("not read within");
});

test("reads that hang occupy two threads at most", async () => {
    // Guards against a file system that hangs and takes all threads on which the process works with files.
    const { clock, state, lines, follow, countReadsInFlight } = await createFixture();
    follow();
    state.isHanging = true;
    await clock.advance(60_000);
    expect(countReadsInFlight()).toBe(2);
    expect(lines.length).toBe(1);
});

test("a signal reloads at once, and nothing is read after the end", async () => {
    const { clock, state, file, handlers, follow } = await createFixture();
    const stop = follow();
    await clock.advance(1);
    state.text = JSON.stringify({ ...settings, storeAddress: newAddress });
    handlers.forEach(reload => reload());
    await clock.advance(1);
    expect(file.current().storeAddress).toBe(newAddress);
    stop();
    state.text = JSON.stringify(settings);
    await clock.advance(boundMs);
    expect(file.current().storeAddress).toBe(newAddress);
    expect(handlers.size).toBe(0);
    expect(clock.pendingTimers()).toBe(0);
});
