import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { join } from "node:path";
import { z } from "zod";
import { checksumOf } from "./checksumOf.js";
import { continuesText } from "./continuesText.js";
import { countChars } from "./countChars.js";
import { createPendingTexts } from "./createPendingTexts.js";
import type { FileOperations } from "./FileOperations.js";
import { nodeFileOperations } from "./nodeFileOperations.js";
import type { TextJournal } from "./TextJournal.js";
import { textTail } from "./textTail.js";

interface TextJournalOptions {
    folder: string;
    clock: Clock;
    logger: Logger;
    files?: FileOperations;
    /** Size at which writing switches to the other file; both together stay below about twice this size. */
    maxFileBytes?: number;
}

/** The part of an item's text that the current file contains. */
interface WrittenText {
    spans: TokenSpan[];
    tokens: number;
    chars: number;
}

const record = z.object({
    item: z.string(),
    /** Tokens of the text before this record; 0 starts the text over. */
    after: z.number().int().nonnegative(),
    spans: z.array(z.object({
        version: z.number().transform(value => value as WeightVersion),
        tokens: z.number().int(),
        text: z.string(),
    })),
});

/** The texts of a trainer's step take half a megabyte, so two files hold several steps and are read in 0.1 s. */
const defaultMaxFileBytes = 3_000_000;
/** Delay before a batch is written, which bounds what a power loss may cost of each text; a sync takes 1 to 5 ms. */
const batchDelayMs = 250;
/** Maximum number of items tracked; items of ended jobs are never requested again. */
const maxItems = 4_096;
/** Limit of the texts that wait for a disk that hangs; the text cache has the same. The oldest are dropped first. */
const maxPendingChars = 10_000_000;
const fileNames = ["texts-0.journal", "texts-1.journal"] as const;

const countTokens = (spans: TokenSpan[]): number => spans.reduce((sum, span) => sum + span.tokens, 0);

/**
 * Applies the records of a file to `texts` and returns the number of torn lines. A line that is torn or missing
 * invalidates only the text of its own item, at that item's next record.
 */
function replay(file: string, texts: Map<string, TokenSpan[]>): number {
    let torn = 0;
    for (const line of file.split("\n").filter(Boolean)) {
        const space = line.indexOf(" ");
        const json = line.slice(space + 1);
        if (line.slice(0, space) !== checksumOf(json)) {
            torn++;
            continue;
        }
        const { item, after, spans } = record.parse(JSON.parse(json));
        const known = after === 0 ? [] : texts.get(item);
        if (known !== undefined && countTokens(known) === after) {
            texts.set(item, [...known, ...spans]);
        }
        else {
            texts.delete(item);
        }
    }
    return torn;
}

/**
 * Creates the journal in a data folder. It writes to two files alternately, so that old texts are removed without being
 * read again. The journal only saves work: if the disk is full, slow or unavailable, texts are generated again, and
 * nothing else is affected.
 */
export function createTextJournal(options: TextJournalOptions): TextJournal {
    const { folder, clock, logger, files = nodeFileOperations } = options;
    const { maxFileBytes = defaultMaxFileBytes } = options;
    const written = new Map<string, WrittenText>();
    const pending = createPendingTexts(maxPendingChars);
    const paths = fileNames.map(name => join(folder, name));
    let currentFile = 0;
    let currentBytes = 0;
    let isFailing = false;
    /** Whether the last write may have left an unfinished line. */
    let isLineOpen = false;
    let writing: Promise<void> | undefined;
    let isTimerSet = false;

    /** Encodes the new part of a text, or all of it if it does not continue the text in the file. */
    function encode(item: string, spans: TokenSpan[]): string {
        const known = written.get(item);
        const continues = known !== undefined && continuesText(known.spans, spans);
        const after = continues ? known.tokens : 0;
        const added = continues ? textTail(spans, known.tokens, known.chars) : spans;
        written.delete(item);
        written.set(item, { spans, tokens: countTokens(spans), chars: countChars(spans) });
        if (written.size > maxItems) {
            written.delete(written.keys().next().value!);
        }
        const json = JSON.stringify({ item, after, spans: added });
        return added.length === 0 ? "" : `${checksumOf(json)} ${json}\n`;
    }

    async function rotateFiles(): Promise<void> {
        currentFile = 1 - currentFile;
        currentBytes = 0;
        written.clear();
        await files.remove(paths[currentFile]!);
    }

    async function write(): Promise<void> {
        if (currentBytes > maxFileBytes) {
            await rotateFiles();
        }
        const records = pending.takeAll().map(([item, spans]) => encode(item, spans)).join("");
        // An unfinished line must not take in the next record.
        const lines = isLineOpen && records !== "" ? `\n${records}` : records;
        if (lines !== "") {
            currentBytes += Buffer.byteLength(lines);
            isLineOpen = true;
            await files.appendSynced(paths[currentFile]!, lines);
            isLineOpen = false;
        }
    }

    async function tryWrite(): Promise<void> {
        try {
            await write();
            if (isFailing) {
                isFailing = false;
                logger.info("textJournalRegained", { folder });
            }
        }
        catch (error) {
            // A failed write may have left part of its records, so every text starts over with its next record.
            written.clear();
            if (!isFailing) {
                isFailing = true;
                logger.warn("textJournalLost", { folder, detail: String(error) });
            }
        }
    }

    function start(): Promise<void> {
        writing ??= tryWrite().finally(() => {
            writing = undefined;
            schedule();
        });
        return writing;
    }

    function schedule(): void {
        if (!pending.isEmpty() && !isTimerSet && writing === undefined) {
            isTimerSet = true;
            clock.startTimer(batchDelayMs, () => {
                isTimerSet = false;
                void start();
            });
        }
    }

    async function readFile(path: string, texts: Map<string, TokenSpan[]>): Promise<void> {
        try {
            const torn = replay((await files.read(path)).toString("utf8"), texts);
            if (torn > 0) {
                logger.warn("textJournalTorn", { path, lines: torn });
            }
        }
        catch (error) {
            const isMissing = (error as NodeJS.ErrnoException).code === "ENOENT";
            if (!isMissing) {
                logger.warn("textJournalUnreadable", { path, detail: String(error) });
            }
        }
    }

    return {
        load: async () => {
            const texts = new Map<string, TokenSpan[]>();
            try {
                await files.makeFolder(folder);
                const present = await files.list(folder);
                const byAge = present.filter(file => paths.includes(file.path))
                    .sort((a, b) => a.modifiedAtMs - b.modifiedAtMs);
                for (const file of byAge) {
                    await readFile(file.path, texts);
                }
                // The newer file stays unchanged; new records go to the other one.
                currentFile = Math.max(0, paths.indexOf(byAge.at(-1)?.path ?? paths[1]!));
                await rotateFiles();
                logger.info("textJournalLoaded", { folder, texts: texts.size });
            }
            catch (error) {
                logger.warn("textJournalUnreadable", { folder, detail: String(error) });
            }
            return texts;
        },
        record: (item, spans) => {
            pending.put(item, spans);
            schedule();
        },
        flush: async () => {
            await writing;
            await start();
        },
    };
}
