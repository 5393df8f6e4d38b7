import type { Clock } from "@auburnarch/types/Clock";

interface LineWriter {
    write(line: string): void;
    /** Writes what waits; resolves once it is out or has failed. */
    flush(): Promise<void>;
}

/** Takes bytes without blocking and calls back once they are written. */
type Sink = (text: string, done: (error?: Error | null) => void) => void;

/** Lines that come close together leave in one write, which costs a system call. */
const flushIntervalMs = 50;
/** Beyond this the reader of the log is too slow, and lines are dropped rather than held or waited for. */
const maxBufferedChars = 1_000_000;

/** Makes the writer of log lines. It never blocks: what does not fit is dropped, counted, and told in the next line. */
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
