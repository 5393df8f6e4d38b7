import { codeOf } from "@auburnarch/errors/codeOf";
import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { GroupStore } from "@auburnarch/types/GroupStore";
import { join } from "node:path";
import { createStepFile } from "./createStepFile.js";
import type { FileGroupStoreOptions } from "./FileGroupStoreOptions.js";
import { nodeFileOperations } from "./nodeFileOperations.js";

type StepFile = Awaited<ReturnType<typeof createStepFile>>;

const defaultMaxBytes = 1_000_000_000;
const defaultMaxAgeMs = 24 * 3_600_000;
const fileExtension = ".groups";
/** Codes of system errors which mean that the disk accepts no more data. */
const fullDiskCodes = new Set<unknown>(["ENOSPC", "EDQUOT", "EROFS"]);

const isDiskFullError = (error: unknown): boolean =>
    fullDiskCodes.has((error as NodeJS.ErrnoException).code) || codeOf(error) === resultCodes.diskFull;

/** File name of a step. The job's name is encoded and prefixed, so that no name denotes a path outside the folder. */
const fileNameOf = (job: string, step: number): string =>
    `job-${encodeURIComponent(job)}-${step}${fileExtension}`;

/**
 * Creates a group store in a data folder, with one append-only file for each step. Appends are not synced one by one: a
 * machine that loses power may lose the last groups, which are then generated again; no guarantee is broken. A full
 * disk does not reject either: it is logged with code `diskFull`, and the group exists only in its owner's memory.
 */
export async function createFileGroupStore(
    folder: string,
    options: FileGroupStoreOptions,
): Promise<GroupStore> {
    const { clock, logger, files = nodeFileOperations } = options;
    const { maxBytes = defaultMaxBytes, maxAgeMs = defaultMaxAgeMs } = options;
    const steps = new Map<string, StepFile>();
    let lastCall: Promise<unknown> = Promise.resolve();
    /** Sizes of files, by path, that earlier runs left and this one has not opened. */
    const unopenedBytes = new Map<string, number>();
    let isFull = false;

    /** Runs one call at a time: concurrent appends could interleave their lines, and a drop could race with a save. */
    function runInSequence<T>(run: () => Promise<T>): Promise<T> {
        const call = lastCall.then(run, run);
        lastCall = call.catch(() => undefined);
        return call;
    }

    async function removeExpired(): Promise<void> {
        const present = (await files.list(folder)).filter(file => file.path.endsWith(fileExtension));
        for (const file of present) {
            if (clock.wallMs() - file.modifiedAtMs > maxAgeMs) {
                await files.remove(file.path);
                logger.info("keptStepExpired", { file: file.path, bytes: file.bytes });
            }
            else {
                unopenedBytes.set(file.path, file.bytes);
            }
        }
    }

    async function stepFile(job: string, step: number): Promise<StepFile> {
        const name = fileNameOf(job, step);
        const present = steps.get(name);
        if (present !== undefined) {
            return present;
        }
        const path = join(folder, name);
        const opened = await createStepFile(files, path, lines => {
            const { number } = resultCodes.recordTorn;
            logger.warn("recordTorn", { code: number, name: "recordTorn", job, step, lines });
        });
        unopenedBytes.delete(path);
        steps.set(name, opened);
        return opened;
    }

    function usedBytes(): number {
        const opened = [...steps.values()].reduce((sum, file) => sum + file.bytes(), 0);
        return [...unopenedBytes.values()].reduce((sum, bytes) => sum + bytes, opened);
    }

    function updateDiskFull(isNowFull: boolean, error: unknown): void {
        if (isNowFull && !isFull) {
            const { number, name } = resultCodes.diskFull;
            logger.error("dataFolderFull", {
                code: number,
                name,
                detail: String(error),
                usedBytes: usedBytes(),
            });
        }
        if (!isNowFull && isFull) {
            logger.info("dataFolderHasRoom", { usedBytes: usedBytes() });
        }
        isFull = isNowFull;
    }

    async function save({ job, step, ...group }: Parameters<GroupStore["save"]>[0]): Promise<void> {
        try {
            if (usedBytes() + group.body.length > maxBytes) {
                throw new ResultError(
                    resultCodes.diskFull,
                    `the data folder would exceed its limit of ${maxBytes} bytes`,
                );
            }
            await (await stepFile(job, step)).save(group);
            updateDiskFull(false, undefined);
        }
        catch (error) {
            if (!isDiskFullError(error)) {
                throw error;
            }
            updateDiskFull(true, error);
        }
    }

    async function drop(job: string, step: number, groups: number[]): Promise<void> {
        const isRemoved = await (await stepFile(job, step)).drop(groups);
        if (isRemoved) {
            steps.delete(fileNameOf(job, step));
        }
    }

    await files.makeFolder(folder);
    await removeExpired();
    return {
        save: record => runInSequence(() => save(record)),
        load: (job, step) => runInSequence(async () => (await stepFile(job, step)).load()),
        drop: (job, step, groups) => runInSequence(() => drop(job, step, groups)),
    };
}
