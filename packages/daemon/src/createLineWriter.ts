import type { Clock } from "@auburnarch/types/Clock";

interface LineWriter {
    write(line: string): void;
    /** Writes the buffered lines; resolves once the write has completed or failed. */
    flush(): Promise<void>;
}

/** Accepts text without blocking and calls back once it is written. */
type Sink = (text: string, done: (error?: Error | null) => void) => void;

/** Lines within this time share one write, because each write costs a system call. */
const flushIntervalMs = 50;
/** If the reader of the log is so slow that this is exceeded, lines are dropped instead of buffered or waited for. */
const maxBufferedChars = 1_000_000;

/**
 * Creates the writer of log lines. It never blocks: lines that do not fit are dropped, counted and logged as a number.
 */
export function createLineWriter(clock: Clock, sink: Sink): LineWriter {
    let buffer = "";
    let dropped = 0;
    let writing: Promise<void> | undefined;
    let isTimerSet = false;

    function drainBuffer(): string {
        const text = dropped === 0
            ? buffer
            : `${buffer}level=warn event=logLinesDropped lines=${dropped}\n`;
        buffer = "";
        dropped = 0;
        return text;
    }

    function startWrite(): Promise<void> {
        writing ??= new Promise<void>(resolve => {
            sink(drainBuffer(), () => resolve());
        }).finally(() => {
            writing = undefined;
            scheduleWrite();
        });
        return writing;
    }

    function scheduleWrite(): void {
        if (buffer !== "" && !isTimerSet && writing === undefined) {
            isTimerSet = true;
            clock.startTimer(flushIntervalMs, () => {
                isTimerSet = false;
                void startWrite();
            });
        }
    }

    return {
        write: line => {
            if (buffer.length + line.length > maxBufferedChars) {
                dropped++;
                return;
            }
            buffer += `${line}\n`;
            scheduleWrite();
        },
        flush: async () => {
            await writing;
            if (buffer !== "") {
                await startWrite();
            }
        },
    };
}
