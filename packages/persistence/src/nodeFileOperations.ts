import { appendFile, mkdir, open, readdir, readFile, rm, stat, truncate } from "node:fs/promises";
import { join } from "node:path";
import type { FileOperations } from "./FileOperations.js";
import { replaceFile } from "./replaceFile.js";

/** File operations on the machine's file system. */
export const nodeFileOperations: FileOperations = {
    append: (path, text) => appendFile(path, text),
    appendSynced: async (path, text) => {
        const file = await open(path, "a");
        try {
            await file.appendFile(text);
            await file.datasync();
        }
        finally {
            await file.close();
        }
    },
    read: path => readFile(path),
    replace: replaceFile,
    truncate,
    remove: path => rm(path, { force: true }),
    makeFolder: async path => void await mkdir(path, { recursive: true }),
    list: async folder => {
        const entries = await readdir(folder, { withFileTypes: true, recursive: true });
        const files = entries.filter(entry => entry.isFile()).map(entry =>
            join(entry.parentPath, entry.name)
        );
        return Promise.all(files.map(async path => {
            const { size, mtimeMs } = await stat(path);
            return { path, bytes: size, modifiedAtMs: mtimeMs };
        }));
    },
};
