import type { Clock } from "@auburnarch/types/Clock";
import type { OpenedSettings } from "./OpenedSettings.js";

const limitMs = 1_000;
const pauseMs = 50;

const isIncomplete = (opened: OpenedSettings): boolean =>
    opened.kind === "invalid" && opened.faults.every(({ path }) => path === "");

/** Opens a settings file that may just be written: while it can't be read as a whole, it is opened again for a second. */
export async function openWrittenSettings(
    open: () => Promise<OpenedSettings>,
    clock: Clock,
): Promise<OpenedSettings> {
    const untilMs = clock.monotonicMs() + limitMs;
    let opened = await open();
    while (isIncomplete(opened) && clock.monotonicMs() < untilMs) {
        await clock.sleep(pauseMs);
        opened = await open();
    }
    return opened;
}
