import type { Clock } from "@auburnarch/types/Clock";
import { rename, writeFile } from "node:fs/promises";
import type { SettingsChange } from "./SettingsChange.js";

interface ProgramSettingsOptions {
    path: string;
    /** All settings but the address of the store. */
    settings: Record<string, unknown>;
    /** Ports of the links to the store; each change of the file names the next one. */
    storePorts: number[];
}

interface ProgramSettings {
    /** Every write of the file so far, oldest first. */
    changes(): SettingsChange[];
    /** Names the next link to the store, in a new file that replaces the old one or in the same file. */
    change(isReplaced: boolean): Promise<void>;
}

/** Writes the settings file of a program; the first link to the store is named first. */
export async function createProgramSettings(
    clock: Clock,
    options: ProgramSettingsOptions,
): Promise<ProgramSettings> {
    const { path, settings, storePorts } = options;
    const changes: SettingsChange[] = [];
    let lastWrite = Promise.resolve();

    async function write(isReplaced: boolean): Promise<void> {
        const storeLink = changes.length % storePorts.length;
        const text = JSON.stringify({ ...settings, storeAddress: `127.0.0.1:${storePorts[storeLink]!}` });
        const beganAtMs = clock.monotonicMs();
        await writeFile(isReplaced ? `${path}.new` : path, text);
        if (isReplaced) {
            await rename(`${path}.new`, path);
        }
        changes.push({ beganAtMs, writtenAtMs: clock.monotonicMs(), storeLink });
    }

    await write(true);
    return {
        changes: () => changes,
        change: isReplaced => {
            lastWrite = lastWrite.then(() => write(isReplaced));
            return lastWrite;
        },
    };
}
