import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import type { Logger } from "@auburnarch/types/Logger";
import fc from "fast-check";
import { mkdtemp, readdir, readFile, rm, stat, truncate, utimes, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, expect, test } from "vitest";
import { createFileGroupStore } from "./createFileGroupStore.js";
import type { FileGroupStoreOptions } from "./FileGroupStoreOptions.js";
import type { FileOperations } from "./FileOperations.js";
import { nodeFileOperations } from "./nodeFileOperations.js";

let folder = "";
let events: string[] = [];
const recordEvent = (event: string): void => void events.push(event);
const logger: Logger = { info: recordEvent, warn: recordEvent, error: recordEvent, child: () => logger };

beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "keep-"));
    events = [];
});

afterEach(async () => {
    await rm(folder, { recursive: true, force: true });
});

/** The wall clock starts at the system's time, by which the file system sets modification times. */
const clockNow = (offsetMs = 0) => createFakeClock(new Date().getTime() + offsetMs);
const openStore = (options: Partial<FileGroupStoreOptions> = {}): Promise<GroupStore> =>
    createFileGroupStore(folder, { clock: clockNow(), logger, ...options });
const groupOf = (group: number, fencing = 1, body = `body ${group}`) => ({
    job: "j",
    step: 4,
    group,
    fencing,
    body,
});
const bodiesOf = async (store: GroupStore): Promise<string[]> =>
    (await store.load("j", 4)).map(({ group, fencing, body }) => `${group}@${fencing} ${body}`).sort();
const onlyFile = async (): Promise<string> => join(folder, (await readdir(folder))[0]!);

test("groups survive a restart; the highest fencing number of a group wins, and dropped groups are removed", async () => {
    const store = await openStore();
    await Promise.all([1, 2, 3].map(group => store.save(groupOf(group))));
    await store.save(groupOf(1, 5, "by a newer owner"));
    await store.save(groupOf(1, 3, "by an older owner"));
    await store.drop("j", 4, [2]);
    expect(await bodiesOf(await openStore())).toEqual(["1@5 by a newer owner", "3@1 body 3"]);
});

test("a file is removed once all its groups are dropped", async () => {
    const store = await openStore();
    await store.save(groupOf(1));
    await store.save(groupOf(2));
    await store.drop("j", 4, [1, 2]);
    expect(await readdir(folder)).toEqual([]);
    await store.save(groupOf(7));
    expect(await bodiesOf(store)).toEqual(["7@1 body 7"]);
});

test("a tail torn at any byte is cut off, the rest is kept, and the file accepts new groups", async () => {
    // Guards against a trainer that receives half a group after a torn write.
    const store = await openStore();
    await store.save(groupOf(1));
    const path = await onlyFile();
    const wholeBytes = (await stat(path)).size;
    await store.save(groupOf(2, 1, "é".repeat(40)));
    const bytes = await readFile(path);
    for (let cut = wholeBytes + 1; cut < bytes.length; cut++) {
        await writeFile(path, bytes);
        await truncate(path, cut);
        const reopened = await openStore();
        expect(await bodiesOf(reopened)).toEqual(["1@1 body 1"]);
        await reopened.save(groupOf(3));
        expect(await bodiesOf(await openStore())).toEqual(["1@1 body 1", "3@1 body 3"]);
    }
    expect(events).toContain("recordTorn");
});

test("only groups that were saved are loaded, however the file is altered", async () => {
    const store = await openStore();
    await Promise.all([1, 2, 3, 4].map(group => store.save(groupOf(group))));
    const path = await onlyFile();
    const whole = await readFile(path);
    const saved = new Set(await bodiesOf(store));
    const edit = fc.record({ at: fc.nat(whole.length - 1), byte: fc.integer({ min: 0, max: 255 }) });
    await fc.assert(
        fc.asyncProperty(fc.array(edit, { minLength: 1, maxLength: 5 }), async edits => {
            const bytes = Buffer.from(whole);
            edits.forEach(({ at, byte }) => bytes.writeUInt8(byte, at));
            await writeFile(path, bytes);
            const loaded = await bodiesOf(await openStore());
            expect(loaded.filter(body => !saved.has(body))).toEqual([]);
        }),
        { numRuns: 100, seed: 1 },
    );
});

test("a full disk neither rejects a save nor loses stored groups, and is logged once", async () => {
    // Guards against a job that stops because a disk is full.
    let hasDiskSpace = true;
    const full: FileOperations = {
        ...nodeFileOperations,
        append: async (path, text) => {
            if (!hasDiskSpace) {
                await nodeFileOperations.append(path, text.slice(0, 10));
                throw Object.assign(new Error("no space left on device"), { code: "ENOSPC" });
            }
            await nodeFileOperations.append(path, text);
        },
    };
    const store = await openStore({ files: full });
    await store.save(groupOf(1));
    hasDiskSpace = false;
    await store.save(groupOf(2));
    await store.save(groupOf(3));
    expect(await bodiesOf(store)).toEqual(["1@1 body 1"]);
    hasDiskSpace = true;
    await store.save(groupOf(4));
    expect(await bodiesOf(await openStore())).toEqual(["1@1 body 1", "4@1 body 4"]);
    expect(events).toEqual(["dataFolderFull", "dataFolderHasRoom"]);
});

test("the folder stays within its size limit, including the files of earlier runs", async () => {
    const body = "x".repeat(1_000);
    const first = await openStore();
    await first.save({ ...groupOf(1, 1, body), step: 1 });
    const store = await openStore({ maxBytes: 2_500 });
    await store.save(groupOf(2, 1, body));
    await store.save(groupOf(3, 1, body));
    expect((await store.load("j", 4)).map(stored => stored.group)).toEqual([2]);
    expect(events).toEqual(["dataFolderFull"]);
});

test("a file is compacted once most of its bytes belong to dropped groups", async () => {
    const store = await openStore();
    const body = "x".repeat(400_000);
    await Promise.all([1, 2, 3, 4].map(group => store.save(groupOf(group, 1, body))));
    await store.drop("j", 4, [1, 2, 3]);
    expect((await stat(await onlyFile())).size).toBeLessThan(500_000);
    expect((await store.load("j", 4)).map(stored => stored.group)).toEqual([4]);
});

test("no job's name denotes a path outside the folder, and no two names share a file", async () => {
    const store = await openStore();
    const names = ["..", "../x", "a/b", "a%2Fb", "a-4", "a"];
    for (const [group, job] of names.entries()) {
        await store.save({ ...groupOf(group), job });
    }
    expect((await readdir(folder)).length).toBe(names.length);
    for (const [group, job] of names.entries()) {
        expect((await store.load(job, 4)).map(stored => stored.group)).toEqual([group]);
    }
});

test("files unchanged for a day are removed at startup", async () => {
    await (await openStore()).save(groupOf(1));
    const expiredTime = new Date(0);
    await utimes(await onlyFile(), expiredTime, expiredTime);
    await openStore();
    expect(await readdir(folder)).toEqual([]);
});
