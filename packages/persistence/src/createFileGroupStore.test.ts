import { createFakeClock } from "@auburnarch/clock/createFakeClock";
import type { GroupKeep } from "@auburnarch/types/GroupKeep";
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

/** The wall clock agrees with the files' times, which the machine sets. */
const clockNow = (offsetMs = 0) => createFakeClock(new Date().getTime() + offsetMs);
const openStore = (options: Partial<FileGroupStoreOptions> = {}): Promise<GroupKeep> =>
    createFileGroupStore(folder, { clock: clockNow(), logger, ...options });
const groupOf = (group: number, fencing = 1, body = `body ${group}`) => ({
    job: "j",
    step: 4,
    group,
    fencing,
    body,
});
const bodiesOf = async (store: GroupKeep): Promise<string[]> =>
    (await store.load("j", 4)).map(({ group, fencing, body }) => `${group}@${fencing} ${body}`).sort();
const onlyFile = async (): Promise<string> => join(folder, (await readdir(folder))[0]!);

test("groups outlive the process; the highest fencing number of a group wins, dropped ones are gone", async () => {
    const keep = await openStore();
    await Promise.all([1, 2, 3].map(group => keep.save(groupOf(group))));
    await keep.save(groupOf(1, 5, "by a newer owner"));
    await keep.save(groupOf(1, 3, "by an older owner"));
    await keep.drop("j", 4, [2]);
    expect(await bodiesOf(await openStore())).toEqual(["1@5 by a newer owner", "3@1 body 3"]);
});

test("a file whose groups are all dropped is removed", async () => {
    const keep = await openStore();
    await keep.save(groupOf(1));
    await keep.save(groupOf(2));
    await keep.drop("j", 4, [1, 2]);
    expect(await readdir(folder)).toEqual([]);
    await keep.save(groupOf(7));
    expect(await bodiesOf(keep)).toEqual(["7@1 body 7"]);
});

test("a tail torn anywhere is cut off, the rest stays, and the file takes new groups", async () => {
    // Guards against: a trainer got half a group.
    const keep = await openStore();
    await keep.save(groupOf(1));
    const path = await onlyFile();
    const wholeBytes = (await stat(path)).size;
    await keep.save(groupOf(2, 1, "é".repeat(40)));
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

test("whatever is done to the file, what loads was saved", async () => {
    const keep = await openStore();
    await Promise.all([1, 2, 3, 4].map(group => keep.save(groupOf(group))));
    const path = await onlyFile();
    const whole = await readFile(path);
    const saved = new Set(await bodiesOf(keep));
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

test("a full disk stops neither the owner nor what was kept, and one line says so", async () => {
    // Guards against: the job stopped when a disk was full.
    let room = true;
    const full: FileOperations = {
        ...nodeFileOperations,
        append: async (path, text) => {
            if (!room) {
                await nodeFileOperations.append(path, text.slice(0, 10));
                throw Object.assign(new Error("no space left on device"), { code: "ENOSPC" });
            }
            await nodeFileOperations.append(path, text);
        },
    };
    const keep = await openStore({ files: full });
    await keep.save(groupOf(1));
    room = false;
    await keep.save(groupOf(2));
    await keep.save(groupOf(3));
    expect(await bodiesOf(keep)).toEqual(["1@1 body 1"]);
    room = true;
    await keep.save(groupOf(4));
    expect(await bodiesOf(await openStore())).toEqual(["1@1 body 1", "4@1 body 4"]);
    expect(events).toEqual(["dataFolderFull", "dataFolderHasRoom"]);
});

test("the folder stays within its limit, counting what earlier runs left", async () => {
    const body = "x".repeat(1_000);
    const first = await openStore();
    await first.save({ ...groupOf(1, 1, body), step: 1 });
    const keep = await openStore({ maxBytes: 2_500 });
    await keep.save(groupOf(2, 1, body));
    await keep.save(groupOf(3, 1, body));
    expect((await keep.load("j", 4)).map(kept => kept.group)).toEqual([2]);
    expect(events).toEqual(["dataFolderFull"]);
});

test("a file with more dead than live bytes is rewritten", async () => {
    const keep = await openStore();
    const body = "x".repeat(400_000);
    await Promise.all([1, 2, 3, 4].map(group => keep.save(groupOf(group, 1, body))));
    await keep.drop("j", 4, [1, 2, 3]);
    expect((await stat(await onlyFile())).size).toBeLessThan(500_000);
    expect((await keep.load("j", 4)).map(kept => kept.group)).toEqual([4]);
});

test("no job's name leads out of the folder, and two names never share a file", async () => {
    const keep = await openStore();
    const names = ["..", "../x", "a/b", "a%2Fb", "a-4", "a"];
    for (const [group, job] of names.entries()) {
        await keep.save({ ...groupOf(group), job });
    }
    expect((await readdir(folder)).length).toBe(names.length);
    for (const [group, job] of names.entries()) {
        expect((await keep.load(job, 4)).map(kept => kept.group)).toEqual([group]);
    }
});

test("files that no owner touched for a day are removed at the start", async () => {
    await (await openStore()).save(groupOf(1));
    const longAgo = new Date(0);
    await utimes(await onlyFile(), longAgo, longAgo);
    await openStore();
    expect(await readdir(folder)).toEqual([]);
});
