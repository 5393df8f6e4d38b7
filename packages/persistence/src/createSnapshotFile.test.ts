import type { Logger } from "@auburnarch/types/Logger";
import { mkdtemp, readdir, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, expect, test } from "vitest";
import { z } from "zod";
import { createSnapshotFile } from "./createSnapshotFile.js";
import type { FileOperations } from "./FileOperations.js";
import { nodeFileOperations } from "./nodeFileOperations.js";

let folder = "";
const silent: Logger = { info: () => {}, warn: () => {}, error: () => {}, child: () => silent };
const schema = z.object({ version: z.number() });
const openSnapshot = (format = 1, files: FileOperations = nodeFileOperations) =>
    createSnapshotFile(folder, "config", { format, schema, logger: silent, files });

beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "snapshot-"));
});

afterEach(async () => {
    await rm(folder, { recursive: true, force: true });
});

test("the last of several concurrent writes is read, and no other file is left in the folder", async () => {
    const snapshot = openSnapshot();
    expect(await snapshot.read()).toBeUndefined();
    await Promise.all([1, 2, 3, 4].map(version => snapshot.write({ version })));
    expect(await openSnapshot().read()).toEqual({ version: 4 });
    expect(await readdir(folder)).toEqual(["config.json"]);
});

test("a snapshot that is cut at any byte, changed or of another format is ignored", async () => {
    await openSnapshot().write({ version: 7 });
    const path = join(folder, "config.json");
    const text = await readFile(path, "utf8");
    for (let length = 0; length < text.length; length++) {
        await writeFile(path, text.slice(0, length));
        expect(await openSnapshot().read()).toBeUndefined();
    }
    await writeFile(path, text.replace("7", "8"));
    expect(await openSnapshot().read()).toBeUndefined();
    await writeFile(path, text);
    expect(await openSnapshot(2).read()).toBeUndefined();
    expect(await openSnapshot().read()).toEqual({ version: 7 });
});

test("a failed write leaves the previous snapshot", async () => {
    await openSnapshot().write({ version: 1 });
    const full: FileOperations = {
        ...nodeFileOperations,
        replace: async () => {
            throw new Error("no space left on device");
        },
    };
    await openSnapshot(1, full).write({ version: 2 });
    expect(await openSnapshot().read()).toEqual({ version: 1 });
});
