import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import type { ConfigFault } from "@auburnarch/types/ConfigFault";
import { expect, test } from "vitest";
import type { OpenedSettings } from "./OpenedSettings.js";
import { openWrittenSettings } from "./openWrittenSettings.js";

const notJson: ConfigFault = { path: "", message: "Not JSON" };
const missing: ConfigFault = { path: "storeAddress", message: "Missing; expected string." };
const opened = { kind: "opened", file: {} } as OpenedSettings;

/** Opens a file that has each of these faults once and none afterwards; returns the outcome and the reads it took. */
async function open(...faults: ConfigFault[]) {
    const clock = createFakeClock();
    let reads = 0;
    let outcome: OpenedSettings | undefined;
    void openWrittenSettings(async () => {
        const fault = faults[reads++];
        return fault === undefined ? opened : { kind: "invalid", faults: [fault] };
    }, clock).then(result => {
        outcome = result;
    });
    await clock.advance(10_000);
    return { outcome, reads };
}

test("a program that starts while its settings are being written waits for the whole file", async () => {
    // Guards against a process that ends at its start because it read an empty file.
    expect(await open(notJson, notJson)).toEqual({ outcome: opened, reads: 3 });
});

test("a file that stays incomplete is given up after a second", async () => {
    const { outcome, reads } = await open(...Array.from({ length: 100 }, () => notJson));
    expect(outcome).toEqual({ kind: "invalid", faults: [notJson] });
    expect(reads).toBe(21);
});

test("a whole file with faults is not read again", async () => {
    expect(await open(missing)).toEqual({ outcome: { kind: "invalid", faults: [missing] }, reads: 1 });
});
