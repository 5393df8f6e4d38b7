import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { TokenSpan } from "@auburnarch/types/TokenSpan";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import { join } from "node:path";
import { z } from "zod";
import { checksumOf } from "./checksumOf.js";
import type { FileOperations } from "./FileOperations.js";
import { nodeFileOperations } from "./nodeFileOperations.js";
import type { TextJournal } from "./TextJournal.js";
import { textTail } from "./textTail.js";

interface TextJournalOptions {
    folder: string;
    clock: Clock;
    logger: Logger;
    files?: FileOperations;
    /** Size at which a file is followed by the other one; both together stay below twice of it. */
    maxFileBytes?: number;
}

/** What of an item's text stands in the journal. */
interface WrittenText {
    text: string;
    tokens: number;
}

const record = z.object({
    item: z.string(),
    /** Tokens that the text had before this record; 0 begins it anew. */
    after: z.number().int().nonnegative(),
    spans: z.array(z.object({
        version: z.number().transform(value => value as WeightVersion),
        tokens: z.number().int(),
        text: z.string(),
    })),
});

/** A trainer's step comes to half a megabyte of text, so two files hold several steps, and are read in 0.1 s. */
const defaultMaxFileBytes = 3_000_000;
/** What a power loss may cost of each text; a sync takes 1 to 5 ms. */
const batchDelayMs = 250;
/** Items remembered at most; those of ended jobs are never asked for again. */
const maxItems = 4_096;
const fileNames = ["texts-0.journal", "texts-1.journal"] as const;

const countTokens = (spans: TokenSpan[]): number => spans.reduce((sum, span) => sum + span.tokens, 0);
const textOf = (spans: TokenSpan[]): string => spans.map(span => span.text).join("");

/** Reads the records of a file; a line that is torn, or behind one that is missing, ends nothing but its own item. */
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
 * Makes the journal in a data folder. Two files are filled by turns, so that old texts go without being read again.
 * A text is a local aid: a disk that is full, slow or gone costs making it again, and nothing else.
 */
export function createTextJournal(options: TextJournalOptions): TextJournal {
    const { folder, clock, logger, files = nodeFileOperations } = options;
    const { maxFileBytes = defaultMaxFileBytes } = options;
    const written = new Map<string, WrittenText>();
    const pending = new Map<string, TokenSpan[]>();
    const paths = fileNames.map(name => join(folder, name));
    let currentFile = 0;
    let currentBytes = 0;
    let isFailing = false;
    let writing: Promise<void> | undefined;
    let isTimerSet = false;

    /** The new part of a text, or all of it where it does not continue what stands there. */
    function encode(item: string, spans: TokenSpan[]): string {
        const known = written.get(item);
        const text = textOf(spans);
        const continues = known !== undefined && text.startsWith(known.text);
        const after = continues ? known.tokens : 0;
        const added = continues ? textTail(spans, known.tokens, known.text.length) : spans;
        written.delete(item);
        written.set(item, { text, tokens: countTokens(spans) });
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
        const lines = [...pending].map(([item, spans]) => encode(item, spans)).join("");
        pending.clear();
        if (lines !== "") {
            currentBytes += Buffer.byteLength(lines);
            await files.appendSynced(paths[currentFile]!, lines);
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
            // What failed may stand there in part: every text begins anew with its next record.
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
        if (pending.size > 0 && !isTimerSet && writing === undefined) {
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
                // The newer file stays as it is; what comes now goes into the other one.
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
            pending.set(item, spans);
            schedule();
        },
        flush: async () => {
            await writing;
            await start();
        },
    };
}
