import type { Settings } from "@auburnarch/config/Settings";
import type { SettingsResult } from "@auburnarch/config/SettingsResult";
import { validateSettings } from "@auburnarch/config/validateSettings";
import type { Logger } from "@auburnarch/types/Logger";

interface Dependencies {
    readText: () => Promise<string>;
    /** Settings over those of the file. */
    flags: Record<string, string>;
    createLogger: (settings: Settings) => Logger;
}

interface ProcessSettings {
    /** Reads the settings to start with; rejects if the file can't be read or is not JSON. */
    open(): Promise<SettingsResult>;
    /**
     * Reads the file again, after all earlier reads, and logs what differs. Faults are logged once for each content, and
     * the previous settings stay.
     */
    reload(): Promise<void>;
}

/** Settings as read and those in force, which are the ones that the process started with. */
interface Opened {
    inForce: Settings;
    previous: Settings;
    logger: Logger;
    /** Content of the file whose faults were logged last. */
    faultyText: string | undefined;
}

function invalid(message: string): SettingsResult {
    return { kind: "invalid", faults: [{ path: "", message }] };
}

function differingKeys(before: Settings, after: Settings): string {
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])] as (keyof Settings)[];
    return keys.filter(key => JSON.stringify(before[key]) !== JSON.stringify(after[key])).join(",");
}

/**
 * Reads the settings file of an entry or a sidecar, at the start and again on request. Changes take effect at the next
 * start.
 */
export function createProcessSettings({ readText, flags, createLogger }: Dependencies): ProcessSettings {
    let opened: Opened | undefined;
    let lastRead: Promise<unknown> = Promise.resolve();

    function afterEarlierReads<T>(read: () => Promise<T>): Promise<T> {
        const result = lastRead.then(read);
        lastRead = result.catch(() => undefined);
        return result;
    }

    function check(text: string): SettingsResult {
        try {
            return validateSettings(JSON.parse(text), flags);
        }
        catch {
            // The parser's message quotes the file, which contains secrets.
            return invalid("Not JSON; expected an object of settings.");
        }
    }

    async function readAgain(): Promise<{ text: string; checked: SettingsResult; }> {
        try {
            const text = await readText();
            return { text, checked: check(text) };
        }
        catch (error) {
            const message = `Unreadable; expected a JSON file. ${String(error)}`;
            return { text: message, checked: invalid(message) };
        }
    }

    async function compare(state: Opened): Promise<void> {
        const { text, checked } = await readAgain();
        const { logger } = state;
        if (checked.kind === "valid") {
            logger.info("settingsReloaded", {
                changed: differingKeys(state.previous, checked.settings),
                atNextStart: differingKeys(state.inForce, checked.settings),
            });
            state.previous = checked.settings;
            state.faultyText = undefined;
        }
        else if (text !== state.faultyText) {
            checked.faults.forEach(({ path, message }) => logger.error("settingsInvalid", { path, message }));
            state.faultyText = text;
        }
    }

    return {
        open: () =>
            afterEarlierReads(async () => {
                const checked = validateSettings(JSON.parse(await readText()), flags);
                if (checked.kind === "valid") {
                    const { settings } = checked;
                    opened = {
                        inForce: settings,
                        previous: settings,
                        logger: createLogger(settings),
                        faultyText: undefined,
                    };
                }
                return checked;
            }),
        reload: () => afterEarlierReads(async () => opened && compare(opened)),
    };
}
