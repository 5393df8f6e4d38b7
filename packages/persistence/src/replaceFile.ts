import { open, rename, rm } from "node:fs/promises";
import { dirname } from "node:path";

async function syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

async function writeSynced(path: string, text: string): Promise<void> {
    const handle = await open(path, "w");
    try {
        await handle.writeFile(text);
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

/**
 * Replaces a file atomically. If it were written in place, a crash during the write would leave neither the old nor the
 * new content; renaming a synced file leaves one of them.
 */
export async function replaceFile(path: string, text: string): Promise<void> {
    const temporary = `${path}.new`;
    try {
        await writeSynced(temporary, text);
        await rename(temporary, path);
        await syncFolder(dirname(path));
    }
    catch (error) {
        await rm(temporary, { force: true });
        throw error;
    }
}
