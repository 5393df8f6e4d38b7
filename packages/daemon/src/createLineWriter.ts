import type { Clock } from "@auburnarch/types/Clock";

interface LineWriter {
    write(line: string): void;
    /** Writes what waits; resolves once it is out or has failed. */
    flush(): Promise<void>;
}

/** Takes bytes without blocking and calls back once they are written. */
type Sink = (text: string, done: (error?: Error | null) => void) => void;

/** Lines that come close together leave in one write, which costs a system call. */
const gatherMs = 50;
/** Beyond this the reader of the log is too slow, and lines are dropped rather than held or waited for. */
const maxWaitingChars = 1_000_000;

/** Makes the writer of log lines. It never blocks: what does not fit is dropped, counted, and told in the next line. */
export function createLineWriter(clock: Clock, sink: Sink): LineWriter {
    let waiting = "";
    let dropped = 0;
    let writing: Promise<void> | undefined;
    let isTimerSet = false;

    function takeWaiting(): string {
        const text = dropped === 0
            ? waiting
            : `${waiting}level=warn event=logLinesDropped lines=${dropped}\n`;
        waiting = "";
        dropped = 0;
        return text;
    }

    function start(): Promise<void> {
        writing ??= new Promise<void>(resolve => {
            sink(takeWaiting(), () => resolve());
        }).finally(() => {
            writing = undefined;
            schedule();
        });
        return writing;
    }

    function schedule(): void {
        if (waiting !== "" && !isTimerSet && writing === undefined) {
            isTimerSet = true;
            clock.startTimer(gatherMs, () => {
                isTimerSet = false;
                void start();
            });
        }
    }

    return {
        write: line => {
            if (waiting.length + line.length > maxWaitingChars) {
                dropped++;
                return;
            }
            waiting += `${line}\n`;
            schedule();
        },
        flush: async () => {
            await writing;
            if (waiting !== "") {
                await start();
            }
        },
    };
}
